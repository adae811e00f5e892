#include "entry/requests/request_relay.hpp"

namespace cicadahub::entry
{

namespace
{

/// Cancels an exchange when its caller leaves, while the object exists.
class leave_watch
{
public:
    leave_watch(http::reply_writer& reply, exchange& run) : m_reply(reply)
    {
        m_reply.watch_caller([&run] { run.cancel(); });
    }
    ~leave_watch() { m_reply.stop_watching_caller(); }
    leave_watch(const leave_watch&) = delete;
    leave_watch& operator=(const leave_watch&) = delete;

private:
    http::reply_writer& m_reply;
};

} // namespace

net::awaitable<void> request_relay::serve(http::request& message,
                                          http::reply_writer& reply)
{
    if (is_relayed(message))
    {
        co_await forward(message, reply);
        co_return;
    }
    co_await m_objects.serve(message, reply);
}

net::awaitable<void> request_relay::forward(http::request& message,
                                            http::reply_writer& reply)
{
    const time_point now = monotonic_clock::now();
    const relayed_request it = unwrap_relayed(message);
    const serving::request request = m_callers.read_request(message);
    const auto record = m_state.servers.find(it.added.server);
    const bool is_known = record && record->entry.incarnation == it.incarnation;
    if (!is_known || m_state.reach.is_cut_off() ||
        now >= m_state.accept_deadline)
    {
        http::response refused =
            make_relay_end({exchange_end::not_sent, true, {}, {}});
        co_await reply.send(std::move(refused));
        co_return;
    }
    const auto copy = request.model ? std::optional(replicas::copy_name{
                                          *request.model, request.adapter})
                                    : std::nullopt;
    const running_guard running(record, request.model);
    // The host that the caller asked remembers what began the stream.
    attempt_observer observer(m_state, request, [] {});
    observer.set_fingerprint(it.fingerprint);
    observer.begin(record);
    exchange run(m_state.pool, m_servers, observer.handlers());
    // The sender decides whether the request may be sent again.
    const wait_guard waiting(m_state.reach, record, run, [] { return false; });
    stream_progress progress;
    reply.set_deadline(now + it.added.time_left);
    // GCC 12 destroys temporaries of aggregates in a `co_await` twice.
    exchange_path path{record->entry.address, it.use_new_connection,
                       std::nullopt};
    exchange_result result;
    {
        const leave_watch watch(reply, run);
        result =
            co_await run.run(std::move(path), message, it.added, request.id,
                             reply, progress, now + it.added.time_left);
    }
    observer.log(result, now);
    if (result.end == exchange_end::withheld)
    {
        result.limit_wait = wait_for_limit(*record, request.id, it);
    }
    co_await observer.end(result, copy);
    co_await finish(std::move(result), progress.has_head, reply);
}

std::optional<milliseconds>
request_relay::wait_for_limit(server_record& server, const request_id& request,
                              const relayed_request& it)
{
    const time_point now = monotonic_clock::now();
    if (!server.limit.is_limited(now))
    {
        return std::nullopt;
    }
    const milliseconds wait = server.limit.time_to_send(request, now);
    // A booking that comes too late for this request would only delay others.
    if (it.books_place && wait <= it.added.time_left)
    {
        server.limit.book(request, now);
    }
    return wait;
}

net::awaitable<void> request_relay::finish(exchange_result result,
                                           bool has_head,
                                           http::reply_writer& reply) const
{
    if (result.end == exchange_end::streamed)
    {
        co_return;
    }
    if (has_head)
    {
        // The other daemon goes on with the stream, or breaks it off.
        reply.abort_stream();
        co_return;
    }
    if (result.end == exchange_end::answered)
    {
        co_await reply.send(std::move(*result.answer));
        co_return;
    }
    http::response end = make_relay_end(
        {result.end, false, std::move(result.reason), result.limit_wait});
    co_await reply.send(std::move(end));
}

} // namespace cicadahub::entry
