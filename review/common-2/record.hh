#pragma once

// The record of a run: lines that all processes append to one file.

#include "net.hh"

#include <fcntl.h>

namespace stage
{

inline std::string& record_path()
{
    static std::string it;
    return it;
}

inline void
note(const std::string& what,
     const std::vector<std::pair<std::string, std::string>>& fields = {})
{
    static std::mutex mutex;
    static int fd = -1;
    const std::lock_guard lock(mutex);
    if (fd < 0)
    {
        fd = open(record_path().c_str(),
                  O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    }
    std::string line = std::to_string(now_ms()) + " " + what;
    for (const auto& [name, value] : fields)
    {
        line += " " + name + "=" + value;
    }
    line += "\n";
    if (::write(fd, line.data(), line.size()) < 0)
    {
        std::perror("record");
    }
}

} // namespace stage
