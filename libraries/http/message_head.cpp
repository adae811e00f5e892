#include "http/message_head.hpp"

namespace cicadahub::http
{

namespace
{

constexpr std::size_t typical_head_bytes = 512;

template<class Message>
void append_fields(const Message& message, std::string& out)
{
    for (const auto& it : message)
    {
        out.append(it.name_string().data(), it.name_string().size());
        out += ": ";
        out.append(it.value().data(), it.value().size());
        out += "\r\n";
    }
    out += "\r\n";
}

} // namespace

std::string serialize_head(const request& message)
{
    std::string out;
    out.reserve(typical_head_bytes);
    out.append(message.method_string().data(), message.method_string().size());
    out += ' ';
    out.append(message.target().data(), message.target().size());
    out += " HTTP/1.1\r\n";
    append_fields(message, out);
    return out;
}

std::string serialize_head(const response& message)
{
    std::string out;
    out.reserve(typical_head_bytes);
    out += "HTTP/1.1 ";
    out += std::to_string(message.result_int());
    out += ' ';
    out.append(message.reason().data(), message.reason().size());
    out += "\r\n";
    append_fields(message, out);
    return out;
}

} // namespace cicadahub::http
