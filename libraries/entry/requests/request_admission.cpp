#include "entry/requests/active_request.hpp"

#include "core/digest.hpp"
#include "core/structured_log.hpp"
#include "decision/routing/weighted_draw.hpp"

namespace cicadahub::entry
{

namespace
{

/// Weight of the latest request in the moving average of the prompt tokens.
constexpr double moving_average_weight = 0.02;
/// Hexadecimal digits; enough that the fingerprints of different requests in a
/// deployment practically never collide.
constexpr std::size_t fingerprint_digits = 24;

} // namespace

void active_request::find_route()
{
    m_route = m_configuration->find_route(m_request.host, m_request.path);
    if (m_route == nullptr)
    {
        refuse(refusal_kind::unknown_route, {});
    }
}

void active_request::authenticate()
{
    if (!m_configuration->requires_key || m_route->is_public)
    {
        return;
    }
    if (m_request.key)
    {
        m_organisation = m_configuration->find_organisation(*m_request.key);
    }
    if (m_organisation == nullptr)
    {
        refuse(refusal_kind::unauthenticated, {});
    }
}

void active_request::charge()
{
    if (m_organisation == nullptr)
    {
        return;
    }
    std::int64_t cost = 1;
    if (m_organisation->counts_tokens)
    {
        cost = m_request.tokens
                   ? m_request.tokens->prompt + m_request.tokens->output_limit
                   : m_organisation->plain_cost;
    }
    m_state.demand.on_tokens(m_organisation->name, cost, m_arrived);
    const auto rate = m_state.rates.find(m_organisation->name);
    if (rate == m_state.rates.end())
    {
        return;
    }
    if (const auto wait = rate->second.charge(cost, m_arrived))
    {
        const sharing::demand_view& view = rate->second.view();
        log_event(severity::info, event_number::rate_exceeded,
                  {{"request", m_request.id.value()},
                   {"organisation", m_organisation->name.value()},
                   {"tokens", cost},
                   {"share", view.share},
                   {"left", rate->second.left()},
                   {"hosts", view.hosts},
                   {"hears_all", view.has_all_reports},
                   {"is_calm", view.is_below_rate}});
        refuse(refusal_kind::over_rate, *wait);
    }
}

void active_request::refuse_suspect()
{
    std::string text(m_message.method_string());
    text.append(" ").append(m_message.target()).append(" ");
    text += m_organisation == nullptr ? std::string()
                                      : m_organisation->name.value();
    text.append(" ").append(m_message.body());
    m_fingerprint =
        suspicion::fingerprint(sha256_hex(text).substr(0, fingerprint_digits));
    m_observer.set_fingerprint(m_fingerprint);
    if (m_state.suspects.is_refused(m_fingerprint) &&
        !m_state.try_admit(m_fingerprint, m_arrived))
    {
        refuse(refusal_kind::suspect_request, {});
    }
}

void active_request::refuse_crashing_part()
{
    const time_point now = monotonic_clock::now();
    const auto part = m_state.find_crashing_part(m_observer.parts(), now);
    if (!part || (m_is_trial && m_runs == 0))
    {
        return;
    }
    m_is_trial = m_sends == 0 && m_state.try_admit(*part, now);
    if (!m_is_trial)
    {
        refuse(refusal_kind::suspect_request, {});
    }
    m_observer.admit_crashing_part();
}

organisation_id active_request::organisation_name() const
{
    return m_organisation == nullptr ? organisation_id() : m_organisation->name;
}

stream_identity active_request::stream_of(const request_id& request) const
{
    // A route can become public, or cease to be, while its streams run, so that
    // they belong to the organisation whose key came with the request.
    const serving::organisation* caller =
        m_organisation == nullptr && m_request.key
            ? m_configuration->find_organisation(*m_request.key)
            : m_organisation;
    return {request,
            caller == nullptr ? organisation_id() : caller->name,
            {m_request.host, m_request.path},
            m_route->name,
            m_route->is_public};
}

net::awaitable<void> active_request::find_stream_origin()
{
    if (!is_stream())
    {
        co_return;
    }
    // A stream whose route can't be resumed any more still goes on only at what
    // began it.
    m_is_taken_up =
        m_request.after_event &&
        (m_route->is_resumable ||
         m_state.continuity.has_had_streams({m_request.host, m_request.path}));
    m_state.metrics.count_stream_asked(m_is_taken_up);
    if (!m_is_taken_up)
    {
        co_return;
    }
    const std::string first =
        m_request.resumes ? m_request.resumes->value() : std::string();
    m_origin = co_await m_state.continuity.find_origin(
        m_request.id, stream_of(m_request.resumes.value_or(m_request.id)));
    if (!m_origin)
    {
        refuse_to_resume("its software version is not known");
    }
    log_event(severity::info, event_number::stream_resumed,
              {{"request", m_request.id.value()},
               {"resumes", first},
               {"after_event", *m_request.after_event},
               {"service", m_origin->service.value()},
               {"software_version", m_origin->version.value()},
               {"took_ms", time_since(m_arrived).count()}});
}

void active_request::refuse_to_resume(std::string_view reason)
{
    log_event(
        severity::warning, event_number::stream_not_resumed,
        {{"request", m_request.id.value()},
         {"resumes",
          m_request.resumes ? m_request.resumes->value() : std::string()},
         {"reason", reason},
         {"service", m_origin ? m_origin->service.value() : std::string()},
         {"software_version",
          m_origin ? m_origin->version.value() : std::string()},
         {"is_past_known", m_state.continuity.is_past_known()},
         {"took_ms", time_since(m_arrived).count()}});
    refuse(refusal_kind::no_capacity, {});
}

bool active_request::begins_resumable_stream() const
{
    return !m_origin && is_stream() && m_route->is_resumable;
}

bool active_request::is_withheld(const service_id& service) const
{
    const continuity::request_path covers{m_route->host, m_route->path_prefix};
    const auto is_usable = [&](const serving::service_share& it)
    {
        return m_state.continuity.may_begin(covers, it.service) &&
               m_state.servers.has_server_of(it.service);
    };
    return begins_resumable_stream() &&
           !m_state.continuity.may_begin(covers, service) &&
           std::any_of(m_route->services.begin(), m_route->services.end(),
                       is_usable);
}

void active_request::choose_service()
{
    const auto& shares = m_route->services;
    const auto weight_of = [&](std::size_t n) -> std::uint32_t
    {
        // A stream that is taken up goes on at the service that began it.
        const bool is_excluded = m_origin
                                     ? shares[n].service != m_origin->service
                                     : is_withheld(shares[n].service);
        return is_excluded ? 0 : shares[n].weight;
    };
    const auto drawn =
        routing::draw_by_weight(shares.size(), weight_of, m_state.random());
    if (m_origin && !drawn)
    {
        refuse_to_resume("its route no longer leads to its service");
    }
    if (!drawn)
    {
        refuse(refusal_kind::no_capacity, {});
    }
    const auto& share = shares[*drawn];
    m_service = m_configuration->find_service(share.service);
    if (m_service == nullptr)
    {
        refuse(refusal_kind::no_capacity, retry_after_starting);
    }
    m_state.retry_budget_of(m_service->name).on_request(m_arrived);
    if (!m_service->engine || !m_request.model)
    {
        return;
    }
    m_copy = replicas::copy_name{*m_request.model, m_request.adapter};
    if (!m_service->engine->models.contains(m_copy->model))
    {
        refuse(refusal_kind::no_capacity, retry_after_starting);
    }
    m_state.demand.on_request(*m_copy, m_arrived);
    m_affinity.key = m_request.model->value();
    for (std::size_t n = 0; n + 1 < m_request.prompt.size(); ++n)
    {
        m_affinity.key += '/' + m_request.prompt[n].id;
        m_affinity.shared_tokens += m_request.prompt[n].tokens;
    }
    if (m_request.tokens)
    {
        m_state.mean_prompt_tokens +=
            moving_average_weight *
            (static_cast<double>(m_request.tokens->prompt) -
             m_state.mean_prompt_tokens);
    }
}

} // namespace cicadahub::entry
