#pragma once

#include "backend/answer_relay.hpp"
#include "caller/completion_request.hpp"
#include "caller/concurrency_limiter.hpp"
#include "caller/gateways.hpp"
#include "caller/published_state.hpp"
#include "caller/request_counts.hpp"
#include "caller/request_metrics.hpp"
#include "caller/running_requests.hpp"
#include "core/digest.hpp"
#include "core/event_log.hpp"
#include "http/server.hpp"

#include <boost/json.hpp>
#include <prometheus/text_serializer.h>

namespace cicadahub::caller
{

/// Header that selects the class of work of a request.
inline constexpr std::string_view class_header = "X-Cicadahub-Class";
inline constexpr std::string_view idempotency_header = "Idempotency-Key";

/// Class of a request without the class header.
inline constexpr std::string_view default_class = "default";

/// Maximum attempts at a request that may have run on a server.
inline constexpr int attempt_limit = 3;

/// Retry-after times of a request that no server can take, and of a repeated
/// request whose original is still running.
inline constexpr milliseconds no_capacity_retry{1'000};
inline constexpr milliseconds running_retry{500};

inline constexpr std::size_t attempt_id_bytes = 8;
inline constexpr std::size_t request_id_prefix_bytes = 8;

/// Pause before the next attempt at a request.
inline constexpr milliseconds attempt_pause{20};

/// Serves the callers' requests on one thread.
template<control_gateway Control>
class request_handler
{
public:
    request_handler(net::io_context& context, published_state& state,
                    Control& control, prometheus::Registry& registry,
                    request_metrics& metrics,
                    concurrency_limiter_table& limiters,
                    http::client_pool& pool, backend::relay_limits limits);

    net::awaitable<void> serve(http::request& message,
                               http::reply_writer& reply);

    /// Cancels the running requests of a withdrawn key. May be called from any
    /// thread.
    void withdraw(const key_hash& hash);

    const request_counter& counter() const { return m_request_counter; }

private:
    /// State of an admitted request.
    struct admitted_request
    {
        token_count cost{1};
        time_point arrival;
        time_point deadline;
        key_hash hash;
        request_counts_key counts_key;
        /// An attempt may have run on a server.
        bool has_run = false;
        /// The caller gave no id, so that the request has one of ours.
        bool has_own_request_id = false;
    };

    /// Ends a suspect's isolation on a server at the end of its scope.
    class isolation
    {
    public:
        isolation(shared_suspect_table& suspects, server_id server)
            : m_suspects(suspects), m_server(std::move(server))
        {
        }
        ~isolation() { m_suspects.end_isolation(m_server); }
        isolation(const isolation&) = delete;
        isolation& operator=(const isolation&) = delete;

    private:
        shared_suspect_table& m_suspects;
        server_id m_server;
    };

    using configuration_pointer =
        std::shared_ptr<const configuration::snapshot>;

    net::awaitable<void> serve_path(http::request& message,
                                    http::reply_writer& reply);
    net::awaitable<void> serve_models(const http::request& message,
                                      http::reply_writer& reply);
    net::awaitable<void> serve_completion(http::request& message,
                                          http::reply_writer& reply);
    net::awaitable<void> serve_service(http::request& message,
                                       http::reply_writer& reply);
    net::awaitable<void> serve_metrics(http::reply_writer& reply);

    configuration::caller_key authenticate(const http::request& message);
    admitted_request admit(const http::request& message,
                           const class_id& work_class,
                           const configuration::caller_key& key);
    http::request make_forwarded_request(const http::request& message,
                                         std::string_view target);
    /// An id that no other request has.
    std::string make_request_id();

    net::awaitable<routing::target>
    find_target(const model_id& model, const std::vector<server_id>& excluded,
                const admitted_request& it);
    net::awaitable<void> run_completion(const model_id& model,
                                        const http::request& message,
                                        http::reply_writer& reply,
                                        admitted_request& it);
    net::awaitable<void> run_service(const configuration::service_route& route,
                                     const http::request& message,
                                     http::reply_writer& reply,
                                     admitted_request& it);
    net::awaitable<void> charge(token_count tokens, const admitted_request& it);
    suspicion::fingerprint fingerprint_of(const http::request& message) const;
    void refuse_poison_request(const http::request& message,
                               const admitted_request& it) const;
    /// Reports a crash to every daemon and refuses the request after its second
    /// crash.
    net::awaitable<void> on_crash(const http::request& message,
                                  const admitted_request& it);
    net::awaitable<void>
    run_service_at_most_once(const configuration::service_route& route,
                             const std::string& key,
                             const http::request& message,
                             http::reply_writer& reply, admitted_request& it);
    net::awaitable<backend::relay_result>
    relay_and_buffer(const routing::target& target,
                     const http::request& message, http::reply_writer& reply,
                     const admitted_request& it);
    std::optional<routing::target>
    choose_service_target(const configuration::service_route& route,
                          const std::vector<server_id>& excluded);
    void refuse_if_past_deadline(const admitted_request& it) const;
    net::awaitable<void> replay(const once::dispatch_decision& result,
                                http::reply_writer& reply);
    net::awaitable<backend::relay_result>
    relay_attempt(const routing::target& target, const http::request& message,
                  http::reply_writer& reply, const admitted_request& it,
                  backend::backend_kind kind, bool use_new_connection);
    /// Logs an attempt unless it brought an answer that promises nothing.
    void log_attempt(const server_id& server, const http::request& message,
                     const backend::relay_result& result) const;
    void count_completed(const admitted_request& it,
                         const backend::relay_result& result);
    [[noreturn]] void fail_request(const admitted_request& it,
                                   const backend::relay_result& result,
                                   http::reply_writer& reply);
    net::awaitable<void> pause();

    net::io_context& m_context;
    published_state& m_state;
    Control& m_control;
    prometheus::Registry& m_registry;
    request_metrics& m_metrics;
    concurrency_limiter_table& m_limiters;
    http::client_pool& m_pool;
    backend::relay_limits m_limits;
    snapshot_reader<configuration::snapshot> m_configuration;
    snapshot_reader<routing::routing_table> m_routes;
    request_counter m_request_counter;
    running_requests m_running;
    std::string m_request_id_prefix;
    std::uint64_t m_last_request_id = 0;
};

} // namespace cicadahub::caller

#include "caller/request_handler.ipp"
#include "caller/request_handler_services.ipp"
