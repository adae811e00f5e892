#include "commands.hpp"

#include "configuration/snapshot.hpp"
#include "core/digest.hpp"
#include "core/errors.hpp"
#include "core/json_reader.hpp"
#include "table.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

namespace cicadahub::ctl
{

namespace
{

constexpr milliseconds wait_pause{50};
constexpr std::size_t generated_key_bytes = 24;

struct change
{
    std::string target;
    std::int64_t version;
};

void print(const boost::json::object& json, const command_options& options,
           const std::vector<std::string>& members)
{
    if (options.is_json)
    {
        std::cout << boost::json::serialize(json) << "\n";
        return;
    }
    print_table(json.at("items").as_array(), members);
}

void check_count(const word_list& words, std::size_t count)
{
    if (words.size() != count)
    {
        throw usage_error("this command takes " + std::to_string(count) +
                          " arguments");
    }
}

std::string kind_path(const std::string& kind)
{
    if (!configuration::kind_of(kind))
    {
        throw usage_error("unknown kind of object \"" + kind + "\"");
    }
    return "/configuration/" + kind;
}

/// Names that no object can have could also change the target of the request.
std::string object_path(const std::string& kind, const std::string& name)
{
    try
    {
        configuration::check_name(name);
    }
    catch (const malformed_document& reason)
    {
        throw usage_error(reason.what());
    }
    return kind_path(kind) + "/" + name;
}

/// Replaces a plain-text API key by its SHA-256 hash, so that the key itself
/// is never sent over the network.
void replace_key_by_hash(boost::json::object& spec)
{
    const auto* key = spec.if_contains("key");
    if (key != nullptr && key->is_string())
    {
        spec["sha256"] = hash_of_key(std::string(key->get_string())).value();
        spec.erase("key");
    }
}

boost::json::value parse_value(const std::string& text)
{
    boost::json::error_code ec;
    boost::json::value it = boost::json::parse(text, ec);
    return ec || it.is_object() || it.is_array() ? boost::json::value(text)
                                                 : it;
}

/// Polls all daemons until each of them serves this version of the object or a
/// newer one. A daemon that cannot be reached counts as pending.
void wait_until_applied(operator_client& client, const change& it,
                        milliseconds limit)
{
    const time_point end = monotonic_clock::now() + limit;
    while (monotonic_clock::now() < end)
    {
        const auto members = client.call(http::verb::get, "/members");
        std::size_t pending_daemons = 0;
        for (const auto& member : members.at("items").as_array())
        {
            const json_reader reader(member.as_object());
            try
            {
                const auto seen = client.call_at(
                    http::parse_endpoint(reader.text("operators")),
                    http::verb::get, it.target);
                pending_daemons +=
                    json_reader(seen).integer("version") < it.version;
            }
            catch (const call_failed&)
            {
                ++pending_daemons;
            }
        }
        if (pending_daemons == 0)
        {
            std::cerr << "applied by " << members.at("items").as_array().size()
                      << " daemons\n";
            return;
        }
        std::this_thread::sleep_for(wait_pause);
    }
    throw call_failed("the change was accepted, but not all daemons "
                      "applied it within the time limit");
}

void wait_if_requested(operator_client& client, const command_options& options,
                       const std::vector<change>& changes)
{
    if (!options.should_wait)
    {
        return;
    }
    for (const change& it : changes)
    {
        wait_until_applied(client, it, options.wait_limit);
    }
}

change apply_one(operator_client& client, const std::string& kind,
                 const std::string& name, boost::json::object spec)
{
    replace_key_by_hash(spec);
    const std::string target = object_path(kind, name);
    const auto answer =
        client.call(http::verb::put, target, boost::json::serialize(spec));
    change it{target, json_reader(answer).integer("version")};
    std::cerr << kind << " " << name << " accepted as version " << it.version
              << "\n";
    return it;
}

boost::json::object spec_of(const toml::table& table)
{
    std::ostringstream text;
    text << toml::json_formatter(table);
    return parse_json_object(text.str());
}

std::vector<change> apply_file(operator_client& client, const std::string& file)
{
    std::vector<change> changes;
    try
    {
        const toml::table document = toml::parse_file(file);
        // Kinds are applied in their declared order, so that an object exists
        // before others refer to it.
        for (const configuration::object_kind kind : configuration::all_kinds)
        {
            const std::string kind_name(configuration::name_of(kind));
            const toml::table* objects = document[kind_name].as_table();
            if (objects == nullptr)
            {
                continue;
            }
            for (const auto& [name, node] : *objects)
            {
                if (!node.is_table())
                {
                    throw usage_error(file + ": " + kind_name + "." +
                                      std::string(name.str()) +
                                      " must be a table");
                }
                changes.push_back(apply_one(client, kind_name,
                                            std::string(name.str()),
                                            spec_of(*node.as_table())));
            }
        }
    }
    catch (const toml::parse_error& reason)
    {
        throw usage_error(file + ":" +
                          std::to_string(reason.source().begin.line) + ": " +
                          std::string(reason.description()));
    }
    return changes;
}

void run_apply(operator_client& client, const command_options& options,
               const word_list& words)
{
    if (words.size() == 1)
    {
        wait_if_requested(client, options, apply_file(client, words[0]));
        return;
    }
    if (words.size() < 3)
    {
        throw usage_error("apply takes FILE, or KIND NAME MEMBER=VALUE...");
    }
    boost::json::object spec;
    for (std::size_t i = 2; i < words.size(); ++i)
    {
        const std::size_t equals = words[i].find('=');
        if (equals == std::string::npos)
        {
            throw usage_error("\"" + words[i] + "\" is not MEMBER=VALUE");
        }
        const std::string member = words[i].substr(0, equals);
        const std::string text = words[i].substr(equals + 1);
        spec[member] =
            member == "key" ? boost::json::value(text) : parse_value(text);
    }
    wait_if_requested(client, options,
                      {apply_one(client, words[0], words[1], spec)});
}

void run_get(operator_client& client, const command_options&,
             const word_list& words)
{
    check_count(words, 2);
    std::cout << boost::json::serialize(client.call(
                     http::verb::get, object_path(words[0], words[1])))
              << "\n";
}

void run_list(operator_client& client, const command_options& options,
              const word_list& words)
{
    check_count(words, 1);
    print(client.call(http::verb::get, kind_path(words[0])), options,
          {"name", "version", "spec"});
}

void run_delete(operator_client& client, const command_options& options,
                const word_list& words)
{
    check_count(words, 2);
    const std::string target = object_path(words[0], words[1]);
    const auto answer = client.call(http::verb::delete_, target);
    wait_if_requested(client, options,
                      {{target, json_reader(answer).integer("version")}});
}

void run_create_key(operator_client& client, const command_options& options,
                    const word_list& words)
{
    check_count(words, 2);
    const std::string key = random_hex(generated_key_bytes);
    boost::json::object spec;
    spec["organisation"] = words[1];
    spec["key"] = key;
    wait_if_requested(client, options,
                      {apply_one(client, "key", words[0], spec)});
    std::cout << key << "\n";
}

using outcome_key = std::pair<std::string, std::string>;

/// Adds one daemon's counters to the sums over the fleet, recursively;
/// members that are not numbers are copied.
void add_counts(boost::json::object& sum,
                const boost::json::object& daemon_counts)
{
    for (const auto& [member, value] : daemon_counts)
    {
        if (value.is_object())
        {
            if (!sum.contains(member))
            {
                sum[member] = boost::json::object{};
            }
            add_counts(sum[member].get_object(), value.get_object());
        }
        else if (value.is_number())
        {
            const auto* previous = sum.if_contains(member);
            sum[member] = (previous ? previous->to_number<std::int64_t>() : 0) +
                          value.to_number<std::int64_t>();
        }
        else
        {
            sum[member] = value;
        }
    }
}

void run_outcomes(operator_client& client, const command_options& options,
                  const word_list& words)
{
    check_count(words, 0);
    const auto members = client.call(http::verb::get, "/members");
    std::map<outcome_key, boost::json::object> totals;
    for (const auto& member : members.at("items").as_array())
    {
        const json_reader reader(member.as_object());
        try
        {
            const auto part =
                client.call_at(http::parse_endpoint(reader.text("operators")),
                               http::verb::get, "/fares");
            for (const auto& it : part.at("items").as_array())
            {
                const json_reader daemon_counts(it.as_object());
                add_counts(totals[{daemon_counts.text("class"),
                                   daemon_counts.text("organisation")}],
                           it.as_object());
            }
        }
        catch (const call_failed& reason)
        {
            std::cerr << "no counters from daemon " << reader.text("daemon")
                      << ": " << reason.what() << "\n";
        }
    }
    boost::json::array items;
    for (const auto& [id, it] : totals)
    {
        items.push_back(it);
    }
    boost::json::object json;
    json["items"] = std::move(items);
    print(json, options,
          {"class", "organisation", "served_in_target", "served_late", "failed",
           "tokens", "refused"});
}

void run_replicas(operator_client& client, const command_options& options,
                  const word_list& words)
{
    check_count(words, 0);
    print(client.call(http::verb::get, "/replicas"), options,
          {"model", "server", "state", "generation", "bytes"});
}

void run_shards(operator_client& client, const command_options& options,
                const word_list& words)
{
    check_count(words, 0);
    print(client.call(http::verb::get, "/shards"), options,
          {"shard", "holder", "epoch", "released"});
}

void run_members(operator_client& client, const command_options& options,
                 const word_list& words)
{
    check_count(words, 0);
    print(client.call(http::verb::get, "/members"), options,
          {"daemon", "operators", "data_centre"});
}

void run_audit(operator_client& client, const command_options& options,
               const word_list& words)
{
    check_count(words, 0);
    print(client.call(http::verb::get, "/audit"), options,
          {"at_ms", "who", "what", "target", "before", "after"});
}

constexpr std::array rows{
    command_row{"apply", "FILE | KIND NAME MEMBER=VALUE...",
                "Creates or changes objects.", run_apply},
    command_row{"get", "KIND NAME", "Prints one object as JSON.", run_get},
    command_row{"list", "KIND", "Lists the objects of a kind.", run_list},
    command_row{"delete", "KIND NAME",
                "Deletes an object; deleting a key withdraws it.", run_delete},
    command_row{"create-key", "NAME ORGANISATION",
                "Generates an API key and prints it; it is not shown again.",
                run_create_key},
    command_row{"fares", "", "Request outcomes by class and organisation.",
                run_outcomes},
    command_row{"replicas", "", "Replicas of models and their states.",
                run_replicas},
    command_row{"shards", "", "Shards and the daemons that hold their leases.",
                run_shards},
    command_row{"members", "", "The daemons of the fleet.", run_members},
    command_row{"audit", "", "Audit trail of changes and decisions.",
                run_audit},
};

} // namespace

std::span<const command_row> command_rows()
{
    return rows;
}

void run_command(operator_client& client, const command_options& options,
                 const word_list& words)
{
    const auto at =
        std::find_if(rows.begin(), rows.end(),
                     [&](const auto& it) { return it.name == words.front(); });
    if (at == rows.end())
    {
        throw usage_error("unknown command \"" + words.front() + "\"");
    }
    at->run(client, options, word_list(words.begin() + 1, words.end()));
}

} // namespace cicadahub::ctl
