#include "caller/completion_request.hpp"

#include "core/errors.hpp"
#include "core/json_reader.hpp"

namespace cicadahub::caller
{

namespace
{

/// Default of the engines for requests without `max_tokens`.
constexpr std::int64_t default_max_tokens = 16;
constexpr std::int64_t largest_max_tokens = 1'000'000;
constexpr std::int64_t bytes_per_token = 4;

} // namespace

completion_request parse_completion(std::string_view body)
{
    try
    {
        const boost::json::object json = parse_json_object(body);
        const json_reader reader(json);
        completion_request it;
        it.model = model_id(reader.text("model"));
        it.is_stream = reader.boolean_or("stream", false);
        const std::int64_t answer =
            reader.integer_or("max_tokens", default_max_tokens);
        if (answer < 1 || answer > largest_max_tokens)
        {
            throw malformed_document("max_tokens is out of range");
        }
        const auto length = static_cast<std::int64_t>(body.size());
        it.expected_tokens = token_count(answer + length / bytes_per_token);
        return it;
    }
    catch (const malformed_document&)
    {
        throw refused_error({refusal_kind::malformed_request});
    }
}

} // namespace cicadahub::caller
