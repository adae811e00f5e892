#include "process.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace cicadahub::system_tests
{

namespace
{

std::string build_folder()
{
    const char* it = std::getenv("CICADAHUB_BUILD");
    return it == nullptr ? "build" : it;
}

} // namespace

std::string make_folder()
{
    std::string name = "/tmp/cicadahub-test-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error(
            "cannot create a temporary folder for the test");
    }
    return name;
}

process::process(const std::string& program, std::vector<std::string> arguments)
{
    static const std::string folder = make_folder();
    static std::atomic<int> number{0};
    m_output_file = folder + "/" + std::to_string(++number) + ".out";
    const std::string path = build_folder() + "/" + program;
    std::vector<char*> words{const_cast<char*>(path.c_str())};
    for (std::string& it : arguments)
    {
        words.push_back(it.data());
    }
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     m_output_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The call returns before the system closes the files that are marked to be
    // closed on exec: a listener of the test would stay in use.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error = ::posix_spawn(&m_pid, path.c_str(), &actions, nullptr,
                                    words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
    {
        throw std::runtime_error("cannot start " + path);
    }
}

process::~process()
{
    if (!m_has_ended)
    {
        kill();
        wait();
    }
}

void process::signal(int number) const
{
    if (!m_has_ended)
    {
        ::kill(m_pid, number);
    }
}

bool process::has_ended()
{
    int raw = 0;
    if (!m_has_ended && ::waitpid(m_pid, &raw, WNOHANG) == m_pid)
    {
        end(raw);
    }
    return m_has_ended;
}

void process::end(int raw)
{
    m_has_ended = true;
    m_status = WIFEXITED(raw) ? WEXITSTATUS(raw) : 128 + WTERMSIG(raw);
}

int process::wait()
{
    if (!m_has_ended)
    {
        int raw = 0;
        ::waitpid(m_pid, &raw, 0);
        end(raw);
    }
    return m_status;
}

std::string process::output() const
{
    std::ifstream in(m_output_file);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::size_t process::peak_memory_bytes() const
{
    const std::string name = "VmHWM:";
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/status");
    std::string word;
    while (in >> word)
    {
        std::size_t kilobytes = 0;
        if (word == name && in >> kilobytes)
        {
            return kilobytes * 1024;
        }
    }
    throw std::runtime_error("the process has no peak memory");
}

std::chrono::nanoseconds process::processor_time() const
{
    clockid_t clock{};
    timespec it{};
    if (clock_getcpuclockid(m_pid, &clock) != 0 ||
        clock_gettime(clock, &it) != 0)
    {
        return {};
    }
    return std::chrono::seconds(it.tv_sec) +
           std::chrono::nanoseconds(it.tv_nsec);
}

std::size_t process::open_descriptors() const
{
    const std::filesystem::directory_iterator all(
        "/proc/" + std::to_string(m_pid) + "/fd");
    return static_cast<std::size_t>(
        std::distance(std::filesystem::begin(all), std::filesystem::end(all)));
}

std::string loopback_host(unsigned n)
{
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64 + (pid >> 8) % 128) + "." +
           std::to_string(pid & 255) + "." + std::to_string(n);
}

std::string free_address(unsigned n)
{
    namespace net = boost::asio;
    static std::set<unsigned> used_ports;
    const std::string host = loopback_host(n);
    net::io_context context;
    for (;;)
    {
        net::ip::tcp::acceptor acceptor(context,
                                        {net::ip::make_address(host), 0});
        const unsigned port = acceptor.local_endpoint().port();
        if (used_ports.insert(port).second)
        {
            return host + ":" + std::to_string(port);
        }
    }
}

} // namespace cicadahub::system_tests
