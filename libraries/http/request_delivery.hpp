#pragma once

#include "http/client.hpp"

namespace cicadahub::http
{

/// True if the other end's system has acknowledged all that was sent to it.
/// False for a connection that ended before or was reset. It says nothing of
/// what the program there has read.
bool has_delivered_all(client_connection& it);

} // namespace cicadahub::http
