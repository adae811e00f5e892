#include "configuration/snapshot.hpp"
#include "core/digest.hpp"
#include "core/errors.hpp"

#include <boost/json.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <gtest/gtest.h>

namespace cicadahub::configuration
{
namespace
{

stored_entry make(const std::string& name, std::uint64_t version,
                  const std::string& spec)
{
    return make_entry(name, object_version(version),
                      boost::json::parse(spec).as_object());
}

std::string key_spec(const std::string& key)
{
    return R"({"organisation":"o","sha256":")" + hash_of_key(key).value() +
           "\"}";
}

TEST(snapshot, a_late_older_version_is_ignored)
{
    snapshot it;
    EXPECT_TRUE(it.apply(make("model.m", 5, R"({"bytes":50})")));
    EXPECT_FALSE(it.apply(make("model.m", 4, R"({"bytes":40})")));
    EXPECT_FALSE(it.apply(make("model.m", 5, R"({"bytes":51})")));
    EXPECT_EQ(it.find_model(model_id("m"))->bytes, byte_count(50));
}

TEST(snapshot, a_withdrawn_key_is_not_restored_by_a_late_update)
{
    snapshot it;
    it.apply(make("key.k", 3, key_spec("secret")));
    EXPECT_TRUE(it.find_key(hash_of_key("secret")));
    it.apply(make("key.k", 7, R"({"deleted":true})"));
    EXPECT_FALSE(it.find_key(hash_of_key("secret")));
    EXPECT_FALSE(it.apply(make("key.k", 3, key_spec("secret"))));
    EXPECT_FALSE(it.find_key(hash_of_key("secret")));
}

TEST(snapshot, the_previous_hash_of_a_changed_key_is_not_found)
{
    snapshot it;
    it.apply(make("key.k", 3, key_spec("old")));
    it.apply(make("key.k", 4, key_spec("new")));
    EXPECT_FALSE(it.find_key(hash_of_key("old")));
    EXPECT_TRUE(it.find_key(hash_of_key("new")));
}

class snapshot_runs : public testing::TestWithParam<std::uint64_t>
{
};

/// Guards against daemons whose configurations diverge: updates arrive in
/// random order, repeated and late. No object may return to an older version,
/// and after all updates each object must have its newest version.
TEST_P(snapshot_runs, every_arrival_order_converges_to_the_newest_versions)
{
    boost::random::mt19937_64 random(GetParam());
    const auto pick = [&](int low, int high)
    {
        return boost::random::uniform_int_distribution<int>(low, high)(random);
    };
    std::vector<stored_entry> history;
    std::map<std::string, std::uint64_t> newest;
    for (std::uint64_t version = 1; version <= 300; ++version)
    {
        const std::string name = "model.m" + std::to_string(pick(0, 9));
        const std::string spec =
            pick(0, 4) == 0 ? R"({"deleted":true})"
                            : R"({"bytes":)" + std::to_string(version) + "}";
        history.push_back(make(name, version, spec));
        newest[name] = version;
    }
    snapshot it;
    std::map<std::string, object_version> seen;
    for (int n = 0; n < 5'000; ++n)
    {
        it.apply(history[static_cast<std::size_t>(pick(0, 299))]);
        for (const auto& [name, entry] : it.entries())
        {
            ASSERT_GE(entry.version, seen[name]);
            seen[name] = entry.version;
        }
    }
    for (const stored_entry& each : history)
    {
        it.apply(each);
    }
    for (const auto& [name, version] : newest)
    {
        EXPECT_EQ(it.entries().at(name).version, object_version(version));
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, snapshot_runs,
                         testing::Range<std::uint64_t>(1, 5));

struct bad_spec
{
    const char* name;
    const char* object;
    const char* spec;

    friend void PrintTo(const bad_spec& it, std::ostream* out)
    {
        *out << it.name;
    }
};

class bad_specs : public testing::TestWithParam<bad_spec>
{
};

TEST_P(bad_specs, are_refused)
{
    EXPECT_THROW(make(GetParam().object, 1, GetParam().spec),
                 malformed_document);
}

INSTANTIATE_TEST_SUITE_P(
    table, bad_specs,
    testing::Values(
        bad_spec{"unknown_kind", "thing.x", "{}"},
        bad_spec{"no_name", "model.", R"({"bytes":1})"},
        bad_spec{"bad_name", "model.a/b", R"({"bytes":1})"},
        bad_spec{"missing_member", "model.m", "{}"},
        bad_spec{"wrong_type", "model.m", R"({"bytes":"1"})"},
        bad_spec{"negative_rate", "organisation.o",
                 R"({"tokens_per_second":-1,"burst_tokens":5})"},
        bad_spec{"short_hash", "key.k",
                 R"({"organisation":"o","sha256":"ab"})"},
        bad_spec{"adapter_without_model", "adapter.a", R"({"bytes":1})"},
        bad_spec{"percent_out_of_range", "class.c",
                 R"({"first_token_within_ms":1,"refusals_percent":101})"}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace cicadahub::configuration
