#include "entry/digest_exchange.hpp"

#include "fleet/digest_codec.hpp"

#include <gtest/gtest.h>

#include <stdexcept>

namespace cicadahub::entry
{
namespace
{

constexpr document_dialect documents{"main", nullptr, nullptr};

http::endpoint free_endpoint()
{
    net::io_context context;
    const net::ip::udp::socket socket(context,
                                      {net::ip::address_v4::loopback(), 0});
    const auto it = socket.local_endpoint();
    return {it.address(), it.port()};
}

// Guards against a daemon that no longer hears the others because of one
// message that it could not process.
TEST(digest_exchange, goes_on_after_a_digest_that_cannot_be_processed)
{
    net::io_context context(1);
    entry_settings settings;
    settings.name = daemon_id("self");
    settings.fleet = free_endpoint();
    entry_state state(context, settings, documents);
    int received = 0;
    digest_exchange subject(
        state, [](fleet::wire::Digest&, time_point) {},
        [&](const peer&)
        {
            ++received;
            throw std::length_error("unexpected");
        },
        [] { return false; });
    subject.start();
    net::ip::udp::socket sender(context, net::ip::udp::v4());
    const net::ip::udp::endpoint to(settings.fleet.address(),
                                    settings.fleet.port());
    for (int n = 1; n <= 2; ++n)
    {
        fleet::wire::Digest it;
        it.sender = "peer";
        it.incarnation = 1;
        it.number = n;
        sender.send_to(net::buffer(fleet::encode_digest(it)), to);
        sender.send_to(net::buffer(std::string("no digest")), to);
    }
    context.run_for(std::chrono::milliseconds(500));
    EXPECT_EQ(received, 2);
}

} // namespace
} // namespace cicadahub::entry
