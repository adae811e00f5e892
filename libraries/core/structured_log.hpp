#pragma once

#include "core/event_log.hpp"

#include <boost/json/object.hpp>

#include <cstdint>

namespace cicadahub
{

enum class severity
{
    info,
    warning,
    error,
};

/// Opens the log on standard output: one JSON object a line, written by a
/// thread of its own. Lines that find its bounded queue full replace the
/// oldest, so that nobody ever waits for whoever reads the log.
void open_structured_log(const std::string& daemon);

/// Ends the log after what is queued was written.
void close_structured_log();

/// Logs one decision; nothing if the log is not open.
void log_event(severity level, event_number event, boost::json::object fields);

/// Lines that were dropped because the queue was full.
std::uint64_t dropped_log_lines();

} // namespace cicadahub
