#pragma once

#include "core/units.hpp"
#include "decision/continuity/stream_origin.hpp"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cicadahub::continuity
{

/// A stream whose first event a caller has got.
struct begun_stream
{
    stream_key key;
    stream_origin origin;
    /// Nobody takes the stream up later.
    time_point until{};
};

/// The origins of streams that callers may take up. The streams that end first
/// go if there are too many.
class stream_origins
{
public:
    explicit stream_origins(std::size_t capacity) : m_capacity(capacity) {}

    /// A stream that two origins are told of has none that can be relied on.
    void on_begun(const begun_stream& it, time_point now);

    /// Empty if the stream is not known, or can't be taken up any more.
    std::optional<begun_stream> find(const stream_key& key,
                                     time_point now) const;

    std::vector<begun_stream> all(time_point now) const;
    std::size_t size() const { return m_streams.size(); }

private:
    struct entry
    {
        begun_stream stream;
        bool is_contradicted = false;
    };

    void erase_first();

    std::size_t m_capacity;
    std::unordered_map<stream_key, entry> m_streams;
    std::multimap<time_point, stream_key> m_by_end;
};

} // namespace cicadahub::continuity
