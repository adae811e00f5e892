#include "object_store_dialect.hpp"
#include "platform/object_client.hpp"

#include "relay_run.hpp"
#include "response_endings.hpp"

#include <gtest/gtest.h>

namespace cicadahub::adapter
{
namespace
{

using platform::collection;

/// Answers of the store to one call, in different eras.
class store_eras : public testing::Test
{
protected:
    /// Reads an object of revision 7 from a store of this era.
    void read_in(const std::string& era)
    {
        const std::string body =
            R"({"metadata":{"name":"a","revision":7},"spec":{}})";
        const fakes::response_ending answer{
            "answer", body,
            "Store-Era: " + era + "\r\n" + fakes::length_of(body.size()),
            fakes::connection_end::stays_open, true};
        fakes::relay_run run(fakes::bytes_of(answer, ""), answer.end);
        m_read = run.run(
            [&](http::endpoint server, http::reply_writer&)
                -> platform::net::awaitable<
                    std::optional<platform::stored_object>>
            {
                m_client.emplace(run.pool(), server, platform::client_timing{},
                                 object_store_dialect,
                                 [this] { ++m_restores; });
                co_return co_await m_client->read(collection::leases, "a");
            });
    }

    std::optional<platform::object_client> m_client;
    std::optional<platform::stored_object> m_read;
    int m_restores = 0;
};

TEST_F(store_eras, a_version_of_a_later_era_is_newer)
{
    read_in("3");
    const object_version earlier = m_read->version;
    EXPECT_EQ(revision_of(earlier), 7U);
    EXPECT_EQ(era_of(earlier), store_era(3));
    EXPECT_LT(in_era(store_era(3), 900), in_era(store_era(4), 1));
}

TEST_F(store_eras, the_first_era_is_no_restore)
{
    read_in("3");
    EXPECT_EQ(m_restores, 0);
    EXPECT_EQ(m_client->era(), store_era(3));
}

TEST_F(store_eras, a_malformed_era_is_an_error)
{
    EXPECT_THROW(read_in("three"), error);
}

} // namespace
} // namespace cicadahub::adapter
