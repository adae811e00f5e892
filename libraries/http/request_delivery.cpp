#include "http/request_delivery.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace cicadahub::http
{

bool has_delivered_all(client_connection& it)
{
    auto& socket = it.stream.socket();
    // A reset that follows the end of the other direction is not seen by
    // reading.
    int pending_error = 0;
    socklen_t size = sizeof pending_error;
    if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR,
                     &pending_error, &size) == 0 &&
        pending_error != 0)
    {
        return false;
    }
    // Where the system does not tell, the end of the connection is believed.
    int unacknowledged = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) != 0 ||
           unacknowledged == 0;
}

} // namespace cicadahub::http
