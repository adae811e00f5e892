#pragma once

#include "core/errors.hpp"
#include "http/client.hpp"

#include <boost/json.hpp>

namespace cicadahub::ctl
{

/// A daemon refused the call or could not be reached.
class call_failed : public error
{
public:
    using error::error;
};

/// Blocking client for the daemons' operator API; one call at a time.
class operator_client
{
public:
    operator_client(http::endpoint daemon, std::string operator_name);

    boost::json::object call(http::verb method, const std::string& target,
                             const std::string& body = {});
    boost::json::object call_at(const http::endpoint& daemon, http::verb method,
                                const std::string& target,
                                const std::string& body = {});

private:
    http::endpoint m_daemon;
    std::string m_operator_name;
};

} // namespace cicadahub::ctl
