#include "decision/continuity/stream_origins.hpp"

#include "core/digest.hpp"

namespace cicadahub::continuity
{

namespace
{

stream_key hashed(const std::string& text)
{
    return stream_key(sha256_hex(text).substr(0, stream_key_digits));
}

} // namespace

stream_key key_of(const request_id& request,
                  const organisation_id& organisation, const request_path& path)
{
    return hashed(request.value() + '\n' + organisation.value() + '\n' +
                  path.host + '\n' + path.path);
}

stream_key key_by_route(const request_id& request,
                        const organisation_id& organisation,
                        const route_id& route)
{
    return hashed(request.value() + '\n' + organisation.value() + '\n' +
                  route.value());
}

void stream_origins::erase_first()
{
    m_streams.erase(m_by_end.begin()->second);
    m_by_end.erase(m_by_end.begin());
}

void stream_origins::on_begun(const begun_stream& it, time_point now)
{
    while (!m_by_end.empty() && m_by_end.begin()->first < now)
    {
        erase_first();
    }
    const auto known = m_streams.find(it.key);
    if (known != m_streams.end())
    {
        known->second.is_contradicted |=
            known->second.stream.origin != it.origin;
        return;
    }
    if (it.until < now)
    {
        return;
    }
    m_by_end.emplace(it.until, it.key);
    m_streams.emplace(it.key, entry{it, false});
    while (m_streams.size() > m_capacity)
    {
        erase_first();
    }
}

std::optional<begun_stream> stream_origins::find(const stream_key& key,
                                                 time_point now) const
{
    const auto known = m_streams.find(key);
    if (known == m_streams.end() || known->second.is_contradicted ||
        now > known->second.stream.until)
    {
        return std::nullopt;
    }
    return known->second.stream;
}

std::vector<begun_stream> stream_origins::all(time_point now) const
{
    std::vector<begun_stream> streams;
    for (const auto& [key, it] : m_streams)
    {
        if (!it.is_contradicted && now <= it.stream.until)
        {
            streams.push_back(it.stream);
        }
    }
    return streams;
}

} // namespace cicadahub::continuity
