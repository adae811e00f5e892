#pragma once

#include "entry/requests/stream_continuity.hpp"
#include "platform/store.hpp"

#include <functional>

namespace cicadahub::entry
{

/// Keeps the origins of streams in the platform's store while a service has
/// more than one software version, so that streams can be taken up although all
/// hosts were lost. The holder of the placement lease writes those that it was
/// told, several times a second, to a ring of objects.
class stream_record
{
public:
    stream_record(net::io_context& context, platform::store& store,
                  stream_continuity& streams, std::function<bool()> is_holder,
                  std::function<bool()> is_stopping);

    void start();

    /// Reads all that is recorded, unless that was done a moment ago. Returns
    /// false if the store can't be read.
    net::awaitable<bool> read();

private:
    net::awaitable<void> run();
    net::awaitable<void> list();
    /// Takes in one object of the record, if it can be read.
    void read_record(const platform::stored_object& it);
    /// Throws if the object can't be read.
    void read_origins(const boost::json::object& spec);
    net::awaitable<void>
    write(const std::vector<continuity::begun_stream>& streams);
    /// The streams of the write are written with the next ones.
    void on_write_failed(std::string_view reason);

    net::io_context& m_context;
    platform::store& m_store;
    stream_continuity& m_streams;
    std::function<bool()> m_is_holder;
    std::function<bool()> m_is_stopping;
    /// The ring, as last read or written; empty until it was read.
    std::vector<platform::stored_object> m_ring;
    std::size_t m_next = 0;
    time_point m_read_at{};
    /// Cancelled when the read that is going on has ended.
    net::steady_timer m_read_ended;
    bool m_is_reading = false;
    bool m_was_holder = false;
};

} // namespace cicadahub::entry
