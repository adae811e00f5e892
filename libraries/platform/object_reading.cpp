#include "platform/object_reading.hpp"

#include "core/json_parts.hpp"
#include "core/json_reader.hpp"

namespace cicadahub::platform
{

namespace
{

stored_object read_metadata(std::string_view text, object_reader read)
{
    boost::json::object json;
    json["metadata"] =
        parse_json_object(text_of_member(members_of_json(text), "metadata"));
    return read(json);
}

} // namespace

void append_object(std::string_view text, bool is_deleted, object_reader read,
                   const reading_log& log, std::vector<stored_object>& to)
{
    stored_object it;
    try
    {
        it = read(parse_json_object(text));
    }
    catch (const std::exception& reason)
    {
        log(reason);
        try
        {
            it = read_metadata(text, read);
        }
        catch (const std::exception& second_reason)
        {
            log(second_reason);
            return;
        }
    }
    it.is_deleted = is_deleted;
    to.push_back(std::move(it));
}

} // namespace cicadahub::platform
