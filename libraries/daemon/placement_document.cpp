#include "daemon/placement_document.hpp"

#include "core/errors.hpp"
#include "core/json_reader.hpp"

#include <algorithm>
#include <array>

namespace cicadahub::daemon
{

namespace
{

constexpr std::array<std::string_view, 3> state_names{"loading", "loaded",
                                                      "unloading"};

placement::replica_state state_from(const std::string& name)
{
    const auto at = std::find(state_names.begin(), state_names.end(), name);
    if (at == state_names.end())
    {
        throw malformed_document("unknown replica state: " + name);
    }
    return static_cast<placement::replica_state>(at - state_names.begin());
}

placement::replica replica_from(const boost::json::object& json)
{
    const json_reader reader(json);
    const auto number = [&](std::string_view member)
    {
        return static_cast<std::uint64_t>(reader.integer(member));
    };
    placement::replica it;
    it.generation = generation_number(number("generation"));
    it.model = model_id(reader.text("model"));
    it.server = server_id(reader.text("server"));
    it.bytes = byte_count(reader.integer("bytes"));
    it.state = state_from(reader.text("state"));
    it.decided_in = epoch_number(number("epoch"));
    it.unsettled = milliseconds(reader.integer_or("unsettled_ms", 0));
    return it;
}

} // namespace

boost::json::object to_json(const placement::document& content)
{
    boost::json::array replicas;
    replicas.reserve(content.replicas.size());
    for (const placement::replica& it : content.replicas)
    {
        replicas.push_back(
            {{"generation", it.generation.value()},
             {"model", it.model.value()},
             {"server", it.server.value()},
             {"bytes", it.bytes.value()},
             {"state", state_names.at(static_cast<std::size_t>(it.state))},
             {"epoch", it.decided_in.value()},
             {"unsettled_ms", it.unsettled.count()}});
    }
    return {{"epoch", content.epoch.value()},
            {"next_generation", content.next_generation},
            {"replicas", std::move(replicas)}};
}

placement::document placement_from_json(const boost::json::object& json)
{
    const json_reader reader(json);
    placement::document content;
    content.epoch =
        epoch_number(static_cast<std::uint64_t>(reader.integer("epoch")));
    content.next_generation =
        static_cast<std::uint64_t>(reader.integer("next_generation"));
    for (const boost::json::value& it : reader.array("replicas"))
    {
        if (!it.is_object())
        {
            throw malformed_document("a replica must be an object");
        }
        content.replicas.push_back(replica_from(it.get_object()));
    }
    return content;
}

} // namespace cicadahub::daemon
