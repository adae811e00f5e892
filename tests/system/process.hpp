#pragma once

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

    /// Waits for the process to exit; returns its exit status, or 128 + the
    /// number of the signal that killed it.
    int wait();

    std::string output() const;

private:
    pid_t m_pid = -1;
    std::string m_output_file;
    bool m_has_ended = false;
    int m_status = 0;
};

/// Loopback address with a free port, chosen by the system.
std::string free_address();

/// Creates a temporary folder for the files of a test.
std::string make_folder();

} // namespace cicadahub::system_tests
