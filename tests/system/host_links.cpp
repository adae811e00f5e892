#include "host_links.hpp"

#include "process.hpp"

#include <future>

namespace cicadahub::system_tests
{

host_links::host_links(unsigned host, const std::string& store)
    : m_host(host), m_store(free_address(host)),
      m_view(m_context, http::parse_endpoint(store)),
      m_server(http::parse_endpoint(m_store), http::server_limits{},
               {{m_context, m_view}})
{
    m_server.start();
    m_thread = std::thread(
        [this]
        {
            const auto work = boost::asio::make_work_guard(m_context);
            m_context.run();
        });
}

host_links::~host_links()
{
    m_context.stop();
    m_thread.join();
}

template<class Task>
void host_links::run(Task task)
{
    std::promise<void> done;
    boost::asio::post(m_context,
                      [&]
                      {
                          task();
                          done.set_value();
                      });
    done.get_future().wait();
}

void host_links::add_server(const std::string& address)
{
    const std::string link = free_address(m_host);
    run(
        [&]
        {
            m_view.replace(address, link);
            m_links.push_back(std::make_unique<fakes::cuttable_link>(
                m_context, http::parse_endpoint(link),
                http::parse_endpoint(address)));
        });
}

void host_links::set_state(std::size_t server, fakes::link_state to)
{
    run([&] { m_links.at(server)->set_state(to); });
}

void host_links::set_state(fakes::link_state to)
{
    run(
        [&]
        {
            for (const auto& it : m_links)
            {
                it->set_state(to);
            }
        });
}

} // namespace cicadahub::system_tests
