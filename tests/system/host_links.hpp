#pragma once

#include "cuttable_link.hpp"
#include "store_view.hpp"

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cicadahub::system_tests
{

/// Links from one host to all backend servers, and the store as that host sees
/// it; on a thread of its own.
class host_links
{
public:
    /// `host` is the number of the loopback host on which the links begin.
    host_links(unsigned host, const std::string& store);
    ~host_links();
    host_links(const host_links&) = delete;
    host_links& operator=(const host_links&) = delete;

    void add_server(const std::string& address);

    /// Address of the store for this host.
    const std::string& store() const { return m_store; }

    void set_state(fakes::link_state to);
    /// The state of the link to one server, by the order of `add_server`.
    void set_state(std::size_t server, fakes::link_state to);

private:
    /// Runs `task` on the thread of the links and waits for its end.
    template<class Task>
    void run(Task task);

    unsigned m_host;
    std::string m_store;
    fakes::net::io_context m_context{1};
    fakes::store_view m_view;
    http::server<fakes::store_view> m_server;
    std::vector<std::unique_ptr<fakes::cuttable_link>> m_links;
    std::thread m_thread;
};

} // namespace cicadahub::system_tests
