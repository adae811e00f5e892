#pragma once

#include <csignal>
#include <string>
#include <vector>

namespace cicadahub::system_tests
{

/// One program of the build, started by a test and ended with it.
class process
{
public:
    /// `program` is a path below the build folder; output goes to a file.
    process(const std::string& program, std::vector<std::string> arguments);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void signal(int number) const;
    void kill() const { signal(SIGKILL); }
    void pause() const { signal(SIGSTOP); }
    void resume() const { signal(SIGCONT); }

    /// Waits for the end; exit status, or 128 + signal.
    int wait();

    std::string output() const;

private:
    pid_t m_pid = -1;
    std::string m_output_file;
    bool m_has_ended = false;
    int m_status = 0;
};

/// A port of the loopback address that nothing listens on.
std::string free_address();

/// A new folder for one test's files.
std::string make_folder();

} // namespace cicadahub::system_tests
