#pragma once

#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/algorithm/string/replace.hpp>

#include <map>
#include <string>

namespace cicadahub::fakes
{

namespace net = boost::asio;

/// A store as one host sees it: answers of another store in which addresses are
/// replaced, so that each host reaches the servers over links of its own.
class store_view
{
public:
    store_view(net::io_context& context, http::endpoint store)
        : m_store(store), m_pool(context, connect_timeout, 0)
    {
    }

    void replace(const std::string& address, const std::string& by)
    {
        m_addresses[address] = by;
    }

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply)
    {
        http::response answer =
            co_await http::fetch(m_pool, m_store, message, answer_timeout);
        for (const auto& [address, by] : m_addresses)
        {
            boost::algorithm::replace_all(answer.body(), '"' + address + '"',
                                          '"' + by + '"');
        }
        answer.prepare_payload();
        co_await reply.send(std::move(answer));
    }

private:
    static constexpr milliseconds connect_timeout{1'000};
    /// Longer than the longest watch.
    static constexpr milliseconds answer_timeout{40'000};

    http::endpoint m_store;
    http::client_pool m_pool;
    std::map<std::string, std::string> m_addresses;
};

} // namespace cicadahub::fakes
