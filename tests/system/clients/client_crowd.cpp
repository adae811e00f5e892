#include "client_crowd.hpp"

#include "core/units.hpp"
#include "http/types.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>

#include <poll.h>

namespace cicadahub::system_tests
{

namespace
{

using tcp_socket = boost::asio::ip::tcp::socket;

constexpr milliseconds poll_period{50};

/// Waits for room in the send buffer, or for the end of the connection.
void wait_writable(tcp_socket& it)
{
    pollfd found{it.native_handle(), POLLOUT, 0};
    ::poll(&found, 1, static_cast<int>(poll_period.count()));
}

/// Returns false if the connection ended before.
bool send_all(tcp_socket& to, std::string_view bytes, std::size_t piece_bytes,
              const std::atomic<bool>& is_over)
{
    while (!bytes.empty() && !is_over)
    {
        const std::size_t n = piece_bytes == 0
                                  ? bytes.size()
                                  : std::min(piece_bytes, bytes.size());
        boost::system::error_code ec;
        bytes.remove_prefix(
            to.write_some(boost::asio::buffer(bytes.data(), n), ec));
        if (ec == boost::asio::error::would_block)
        {
            wait_writable(to);
        }
        else if (ec)
        {
            return false;
        }
    }
    return true;
}

bool connect(tcp_socket& it, const std::string& address)
{
    boost::system::error_code ec;
    it.connect(http::parse_endpoint(address), ec);
    it.non_blocking(true, ec);
    return !ec;
}

} // namespace

client_crowd::client_crowd(const std::string& address, std::size_t size,
                           crowd_bytes bytes)
    : m_bytes(std::move(bytes)), m_sending(size)
{
    for (std::size_t n = 0; n < size; ++n)
    {
        m_clients.emplace_back([this, address] { run_client(address); });
    }
}

client_crowd::~client_crowd()
{
    m_is_over = true;
    for (std::thread& it : m_clients)
    {
        it.join();
    }
}

void client_crowd::wait_until_sent() const
{
    while (m_sending > 0)
    {
        std::this_thread::sleep_for(poll_period);
    }
}

void client_crowd::run_client(const std::string& address)
{
    boost::asio::io_context context;
    tcp_socket socket(context);
    bool is_sent = false;
    for (int tries = 0; tries < 2 && !is_sent && !m_is_over; ++tries)
    {
        socket = tcp_socket(context);
        is_sent =
            connect(socket, address) &&
            send_all(socket, m_bytes.start, m_bytes.piece_bytes, m_is_over);
        for (std::size_t n = 0; n < m_bytes.repeats && is_sent; ++n)
        {
            is_sent =
                send_all(socket, m_bytes.block, m_bytes.piece_bytes, m_is_over);
        }
    }
    --m_sending;
    while (!m_is_over)
    {
        std::this_thread::sleep_for(poll_period);
    }
}

} // namespace cicadahub::system_tests
