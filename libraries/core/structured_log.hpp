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

/// Opens the log on standard output: one JSON object per line, written by a
/// dedicated thread from a bounded queue. When the queue is full, a new line
/// replaces the oldest one, so that logging never blocks on a slow reader.
void open_structured_log(const std::string& daemon);

/// Closes the log after the queued lines are written.
void close_structured_log();

/// Logs one event. While the log is not open it goes to the text log, if the
/// program has initialised that.
void log_event(severity level, event_number event, boost::json::object fields);

/// Number of lines dropped because the queue was full; 0 if the log is closed.
std::uint64_t dropped_log_lines();

} // namespace cicadahub
