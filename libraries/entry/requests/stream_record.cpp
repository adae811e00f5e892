#include "entry/requests/stream_record.hpp"

#include "core/errors.hpp"
#include "core/json_reader.hpp"
#include "core/structured_log.hpp"
#include "daemon/pause.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace cicadahub::entry
{

namespace
{

using continuity::begun_stream;
using continuity::stream_key;
using continuity::stream_origin;
using daemon::pause;

/// Streams that began in the last moments before all hosts are lost are not
/// recorded; most streams last longer.
constexpr milliseconds write_period{300};
/// The ring holds more than the longest time in which streams can be taken up.
constexpr std::size_t ring_size = 128;
/// What was read less long ago is not read again.
constexpr milliseconds read_period{300};
constexpr std::string_view streams_member = "streams";

boost::json::object to_json(const std::vector<begun_stream>& streams)
{
    std::map<stream_origin, std::string> keys;
    for (const begun_stream& it : streams)
    {
        keys[it.origin] += it.key.value();
    }
    boost::json::array list;
    for (const auto& [origin, text] : keys)
    {
        list.push_back({{"service", origin.service.value()},
                        {"version", origin.version.value()},
                        {"keys", text}});
    }
    boost::json::object spec;
    spec[streams_member] = std::move(list);
    return spec;
}

} // namespace

stream_record::stream_record(net::io_context& context, platform::store& store,
                             stream_continuity& streams,
                             std::function<bool()> is_holder,
                             std::function<bool()> is_stopping)
    : m_context(context), m_store(store), m_streams(streams),
      m_is_holder(std::move(is_holder)), m_is_stopping(std::move(is_stopping)),
      m_read_ended(context)
{
}

void stream_record::start()
{
    net::co_spawn(m_context, run(), net::detached);
}

net::awaitable<void> stream_record::list()
{
    platform::listing all;
    try
    {
        all = co_await m_store.list(platform::collection::streams);
    }
    catch (const platform::incomplete_list& reason)
    {
        // Enough to take up the streams of the pages before, not to write: the
        // next record would take the place of one that was not seen.
        for (const platform::stored_object& it : reason.read().objects)
        {
            read_record(it);
        }
        throw;
    }
    m_ring.assign(ring_size, {});
    m_next = 0;
    object_version newest;
    for (const platform::stored_object& it : all.objects)
    {
        std::size_t place = 0;
        if (!boost::conversion::try_lexical_convert(it.name, place) ||
            place >= ring_size)
        {
            continue;
        }
        m_ring[place] = it;
        if (it.version > newest)
        {
            newest = it.version;
            m_next = (place + 1) % ring_size;
        }
        read_record(it);
    }
    m_read_at = monotonic_clock::now();
}

void stream_record::read_record(const platform::stored_object& it)
{
    try
    {
        read_origins(it.spec);
    }
    catch (const std::exception& reason)
    {
        log_event(severity::warning, event_number::malformed_object,
                  {{"collection", "streams"},
                   {"object", it.name},
                   {"reason", reason.what()}});
    }
}

void stream_record::read_origins(const boost::json::object& spec)
{
    const json_reader reader(spec);
    for (const boost::json::value& part : reader.array(streams_member))
    {
        const json_reader group(part.as_object());
        const stream_origin origin{service_id(group.text("service")),
                                   software_version(group.text("version"))};
        const std::string keys = group.text("keys");
        constexpr std::size_t digits = continuity::stream_key_digits;
        for (std::size_t at = 0; at + digits <= keys.size(); at += digits)
        {
            m_streams.on_recorded(stream_key(keys.substr(at, digits)), origin);
        }
    }
}

net::awaitable<bool> stream_record::read()
{
    const auto is_read = [this]
    {
        return monotonic_clock::now() < m_read_at + read_period;
    };
    if (m_is_reading)
    {
        co_await m_read_ended.async_wait(net::as_tuple(net::use_awaitable));
        co_return is_read();
    }
    if (is_read())
    {
        co_return true;
    }
    m_is_reading = true;
    m_read_ended.expires_at(std::chrono::steady_clock::time_point::max());
    try
    {
        co_await list();
    }
    catch (const std::exception& reason)
    {
        log_event(severity::warning, event_number::platform_unreachable,
                  {{"collection", "streams"}, {"reason", reason.what()}});
    }
    m_is_reading = false;
    m_read_ended.cancel();
    co_return is_read();
}

net::awaitable<void> stream_record::run()
{
    while (!m_is_stopping())
    {
        co_await pause(m_context, write_period);
        const bool is_holder = m_is_holder();
        if (is_holder && !std::exchange(m_was_holder, is_holder))
        {
            m_streams.on_recorder_changed();
        }
        m_was_holder = is_holder;
        const auto streams = m_streams.take_unrecorded();
        if (!is_holder)
        {
            // Another holder may write in the meantime.
            m_ring.clear();
            continue;
        }
        if (streams.empty())
        {
            continue;
        }
        try
        {
            if (m_ring.empty())
            {
                co_await list();
            }
            co_await write(streams);
        }
        catch (const std::exception& reason)
        {
            on_write_failed(reason.what());
        }
    }
}

void stream_record::on_write_failed(std::string_view reason)
{
    m_ring.clear();
    m_streams.on_recorder_changed();
    log_event(severity::warning, event_number::platform_unreachable,
              {{"collection", "streams"}, {"reason", reason}});
}

net::awaitable<void>
stream_record::write(const std::vector<begun_stream>& streams)
{
    const std::size_t place = std::exchange(m_next, (m_next + 1) % ring_size);
    platform::stored_object former = m_ring[place];
    former.name = std::to_string(place);
    const boost::json::object spec = to_json(streams);
    const auto written =
        co_await m_store.write(platform::collection::streams, former, spec);
    if (written.outcome != platform::write_outcome::applied)
    {
        on_write_failed("the write was not applied");
        co_return;
    }
    former.spec = spec;
    former.version = written.version;
    m_ring[place] = std::move(former);
}

} // namespace cicadahub::entry
