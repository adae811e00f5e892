#include "object_store_dialect.hpp"

#include "core/errors.hpp"
#include "http/client.hpp"
#include "http/request_target.hpp"
#include "odd_names.hpp"
#include "platform/kubernetes_dialect.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace cicadahub::platform
{
namespace
{

/// A part of a dialect that puts a name into the target of a request.
struct named_call
{
    const char* label;
    const object_dialect& dialect;
    std::function<http::request(const object_dialect&, const std::string&)>
        make;
    bool is_name_in_query = false;
};

void PrintTo(const named_call& it, std::ostream* out)
{
    *out << it.label;
}

http::request list_after(const object_dialect& it, const std::string& name)
{
    return it.list(collection::servers, name);
}

http::request read_of(const object_dialect& it, const std::string& name)
{
    return it.read(collection::leases, name);
}

http::request replacement_of(const object_dialect& it, const std::string& name)
{
    return it.write(collection::leases, {name, object_version(7), {}, {}, {}});
}

http::request removal_of(const object_dialect& it, const std::string& name)
{
    return it.remove(collection::leases, name);
}

class named_calls : public testing::TestWithParam<named_call>
{
};

// Guards against names that change the target of a request: they end it, begin
// another parameter, or are decoded to another name.
TEST_P(named_calls, carry_each_name_to_the_store)
{
    const named_call& given = GetParam();
    for (const fakes::odd_name& it : fakes::odd_names())
    {
        SCOPED_TRACE(it.label);
        const http::request message = given.make(given.dialect, it.text);
        const auto usual =
            http::parse_target(given.make(given.dialect, "usual").target());
        http::request_target target;
        ASSERT_NO_THROW(target = http::parse_target(message.target()));
        ASSERT_EQ(target.segments.size(), usual.segments.size());
        if (!given.is_name_in_query)
        {
            EXPECT_EQ(target.segments.back(), it.text);
            EXPECT_TRUE(target.parameters.empty());
            continue;
        }
        EXPECT_EQ(target.segments, usual.segments);
        ASSERT_EQ(target.parameters.size(), 1U);
        EXPECT_EQ(target.parameters.begin()->first, "after");
        EXPECT_EQ(target.parameters.begin()->second, it.text);
    }
}

const object_dialect& objects = adapter::object_store_dialect;

INSTANTIATE_TEST_SUITE_P(
    dialects, named_calls,
    testing::Values(
        named_call{"object_store_list", objects, list_after, true},
        named_call{"object_store_read", objects, read_of},
        named_call{"object_store_write", objects, replacement_of},
        named_call{"object_store_remove", objects, removal_of},
        named_call{"kubernetes_read", kubernetes_dialect, read_of},
        named_call{"kubernetes_write", kubernetes_dialect, replacement_of},
        named_call{"kubernetes_remove", kubernetes_dialect, removal_of}),
    [](const auto& it) { return std::string(it.param.label); });

} // namespace
} // namespace cicadahub::platform
