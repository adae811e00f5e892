#include "daemon/ledger_document.hpp"

#include "core/errors.hpp"
#include "core/json_reader.hpp"

#include <algorithm>
#include <array>

namespace cicadahub::daemon
{

namespace
{

constexpr std::array<std::string_view, 3> state_names{"open", "answered",
                                                      "unknown"};

once::intent_state state_from(const std::string& name)
{
    const auto at = std::find(state_names.begin(), state_names.end(), name);
    if (at == state_names.end())
    {
        throw malformed_document("unknown intent state: " + name);
    }
    return static_cast<once::intent_state>(at - state_names.begin());
}

boost::json::object intent_to_json(const once::intent& it)
{
    boost::json::object json;
    json["request"] = it.request.value();
    json["attempt"] = it.attempt.value();
    json["state"] = state_names.at(static_cast<std::size_t>(it.state));
    json["kept_for_ms"] = it.kept_for.count();
    if (it.answer)
    {
        json["answer"] = {{"status", it.answer->status},
                          {"content_type", it.answer->content_type},
                          {"body", it.answer->body}};
    }
    return json;
}

once::intent intent_from(const boost::json::object& json)
{
    const json_reader reader(json);
    once::intent it;
    it.request = once::fingerprint(reader.text("request"));
    it.attempt = once::attempt_id(reader.text("attempt"));
    it.state = state_from(reader.text("state"));
    it.kept_for = milliseconds(reader.integer("kept_for_ms"));
    if (json.contains("answer"))
    {
        const json_reader answer(reader.object("answer"));
        it.answer = once::saved_answer{
            static_cast<unsigned>(answer.integer("status")),
            answer.text("content_type"), answer.text("body")};
    }
    return it;
}

} // namespace

boost::json::object to_json(const once::ledger_document& content)
{
    boost::json::object intents;
    for (const auto& [key, it] : content.intents)
    {
        intents[key.value()] = intent_to_json(it);
    }
    return {{"epoch", content.epoch.value()}, {"intents", std::move(intents)}};
}

once::ledger_document ledger_from_json(const boost::json::object& json)
{
    const json_reader reader(json);
    once::ledger_document content;
    content.epoch =
        epoch_number(static_cast<std::uint64_t>(reader.integer("epoch")));
    for (const auto& [key, value] : reader.object("intents"))
    {
        if (!value.is_object())
        {
            throw malformed_document("an intent must be an object");
        }
        content.intents.emplace(once::intent_key(std::string(key)),
                                intent_from(value.get_object()));
    }
    return content;
}

} // namespace cicadahub::daemon
