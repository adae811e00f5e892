#pragma once

#include <chrono>
#include <csignal>
#include <string>
#include <vector>

namespace cicadahub::system_tests
{

/// A process running a program of the build; killed by the destructor if it is
/// still running.
class process
{
public:
    /// `program` is a path below the build folder; standard output and error go
    /// to a file.
    process(const std::string& program, std::vector<std::string> arguments);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void signal(int number) const;
    void kill() const { signal(SIGKILL); }
    void pause() const { signal(SIGSTOP); }
    void resume() const { signal(SIGCONT); }

    /// True if the process has exited.
    bool has_ended();

    /// Waits for the process to exit; returns its exit status, or 128 + the
    /// number of the signal that killed it.
    int wait();

    std::string output() const;

    /// Most bytes of memory that were resident at once since the start.
    std::size_t peak_memory_bytes() const;

    std::size_t open_descriptors() const;

    /// Processor time used since the start.
    std::chrono::nanoseconds processor_time() const;

private:
    void end(int raw);

    pid_t m_pid = -1;
    std::string m_output_file;
    bool m_has_ended = false;
    int m_status = 0;
};

/// Loopback host `n`, from 1 to 254, of this test process. Test processes that
/// run in parallel have different hosts, so that they never compete for a port.
std::string loopback_host(unsigned n);

/// Address with a free port on a loopback host of this process. A port is
/// returned only once, whatever the host.
std::string free_address(unsigned n = 1);

/// Creates a temporary folder for the files of a test.
std::string make_folder();

} // namespace cicadahub::system_tests
