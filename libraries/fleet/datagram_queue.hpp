#pragma once

#include "core/units.hpp"

#include <boost/asio/ip/udp.hpp>

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cicadahub::fleet
{

enum class datagram_kind
{
    /// Replaced by the next one to the same receiver.
    routine,
    /// Sent before all routine ones.
    urgent,
};

struct datagram
{
    boost::asio::ip::udp::endpoint to;
    /// Shared by all receivers.
    std::shared_ptr<const std::string> bytes;
};

/// Datagrams on their way to the link of this host, at no more than a given
/// rate. A link that is given more drops what comes last, and what others send
/// over it waits. Each receiver gets its datagrams in the order in which they
/// were added.
class datagram_queue
{
public:
    /// `bytes_per_second` must be positive.
    explicit datagram_queue(double bytes_per_second);

    void push(datagram_kind kind, datagram it);

    /// Removes and returns the datagram to send now; empty if there is none or
    /// the rate does not allow one yet.
    std::optional<datagram> pop(time_point now);

    /// Time until the rate allows the next datagram.
    milliseconds time_to_next(time_point now) const;

    bool is_empty() const { return m_urgent.empty() && m_routine.empty(); }

    /// Urgent datagrams that were dropped, the oldest first, because more than
    /// `urgent_limit` were waiting; counted since the last call.
    std::size_t take_dropped();

private:
    using datagram_list = std::list<datagram>;

    void refill(time_point now);
    void push_urgent(datagram it);

    const double m_rate;
    const double m_burst;
    double m_tokens;
    time_point m_refilled_at{};
    datagram_list m_urgent;
    std::size_t m_urgent_bytes = 0;
    datagram_list m_routine;
    std::map<boost::asio::ip::udp::endpoint, datagram_list::iterator>
        m_routine_by_receiver;
    std::size_t m_dropped = 0;
};

} // namespace cicadahub::fleet
