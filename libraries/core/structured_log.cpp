#include "core/structured_log.hpp"

#include <boost/json/serialize.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <atomic>
#include <chrono>
#include <string>

namespace cicadahub
{

namespace
{

/// Holds about two seconds of lines at the highest useful logging rate.
constexpr std::size_t max_queued_lines = 4096;

struct log_state
{
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
    std::string daemon;
};

log_state& current()
{
    static log_state it;
    return it;
}

spdlog::level::level_enum level_of(severity it)
{
    switch (it)
    {
    case severity::info:
        return spdlog::level::info;
    case severity::warning:
        return spdlog::level::warn;
    case severity::error:
        break;
    }
    return spdlog::level::err;
}

google::LogSeverity text_level_of(severity it)
{
    switch (it)
    {
    case severity::info:
        return google::GLOG_INFO;
    case severity::warning:
        return google::GLOG_WARNING;
    case severity::error:
        break;
    }
    return google::GLOG_ERROR;
}

void log_as_text(severity level, event_number event,
                 const boost::json::object& fields)
{
    if (google::IsGoogleLoggingInitialized())
    {
        LOG_AT_LEVEL(text_level_of(level))
            << "E" << static_cast<int>(event) << " " << name_of(event) << " "
            << boost::json::serialize(fields);
    }
}

} // namespace

void open_structured_log(const std::string& daemon)
{
    log_state& it = current();
    it.daemon = daemon;
    it.pool =
        std::make_shared<spdlog::details::thread_pool>(max_queued_lines, 1);
    it.logger = std::make_shared<spdlog::async_logger>(
        "cicadahub", std::make_shared<spdlog::sinks::stdout_sink_mt>(), it.pool,
        spdlog::async_overflow_policy::overrun_oldest);
    it.logger->set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%f","level":"%l",%v})");
}

void close_structured_log()
{
    log_state& it = current();
    if (it.logger)
    {
        it.logger->flush();
    }
    it.logger.reset();
    it.pool.reset();
}

void log_event(severity level, event_number event, boost::json::object fields)
{
    log_state& it = current();
    if (!it.logger)
    {
        log_as_text(level, event, fields);
        return;
    }
    boost::json::object line;
    line["event"] = static_cast<int>(event);
    line["name"] = name_of(event);
    line["daemon"] = it.daemon;
    for (auto& field : fields)
    {
        line[field.key()] = std::move(field.value());
    }
    const std::string text = boost::json::serialize(line);
    // Strips the outer braces: the pattern adds them around the time, the level
    // and these fields.
    it.logger->log(level_of(level), "{}",
                   std::string_view(text).substr(1, text.size() - 2));
}

std::uint64_t dropped_log_lines()
{
    const log_state& it = current();
    return it.pool ? it.pool->overrun_counter() : 0;
}

} // namespace cicadahub
