#include "entry/crash_notices.hpp"

#include "core/digest.hpp"
#include "core/structured_log.hpp"

namespace cicadahub::entry
{

namespace
{

/// Enough that parts in one deployment practically never collide.
constexpr std::size_t part_fingerprint_digits = 16;
/// Keep a digest within one datagram.
constexpr std::size_t max_crashed_requests = 256;
constexpr std::size_t max_parts = 256;

std::int32_t age_of(time_point moment, time_point now)
{
    return static_cast<std::int32_t>(
        std::chrono::duration_cast<milliseconds>(now - moment).count());
}

void add_parts(std::vector<fleet::wire::PromptPart>& to,
               const std::vector<suspicion::part_notice>& from, time_point now)
{
    for (const suspicion::part_notice& it : from)
    {
        if (to.size() >= max_parts)
        {
            return;
        }
        fleet::wire::PromptPart& part = to.emplace_back();
        part.part = it.part.value();
        part.age_ms = age_of(it.at, now);
        part.trials = static_cast<std::int32_t>(it.trials);
    }
}

suspicion::part_notice notice_from(const fleet::wire::PromptPart& it,
                                   time_point received_at)
{
    return {suspicion::part_fingerprint(it.part),
            received_at - milliseconds(it.age_ms),
            static_cast<std::uint32_t>(std::max(0, it.trials))};
}

suspicion::server_crash crash_from(const fleet::wire::CrashedServer& it,
                                   time_point received_at)
{
    suspicion::server_crash crash;
    crash.key = {server_id(it.server), it.incarnation};
    crash.at = received_at - milliseconds(it.age_ms);
    for (const auto& from : it.requests)
    {
        suspicion::crashed_request& request = crash.requests.emplace_back();
        request.request = suspicion::fingerprint(from.request);
        request.sent_at = crash.at - milliseconds(from.sent_before_ms);
        for (const std::string& part : from.parts)
        {
            request.parts.emplace_back(part);
        }
    }
    return crash;
}

} // namespace

std::vector<suspicion::part_fingerprint>
shared_parts_of(const std::vector<serving::prompt_part>& prompt)
{
    std::vector<suspicion::part_fingerprint> parts;
    for (std::size_t n = 0; n + 1 < prompt.size(); ++n)
    {
        parts.emplace_back(
            sha256_hex(prompt[n].id).substr(0, part_fingerprint_digits));
    }
    return parts;
}

void add_crash_notices(fleet::wire::Digest& to,
                       suspicion::crash_attribution& from, time_point since,
                       time_point now)
{
    if (from.is_empty())
    {
        return;
    }
    std::size_t requests = 0;
    for (const auto& crash : from.own_crashes_since(since))
    {
        fleet::wire::CrashedServer& server = to.crashed_servers.emplace_back();
        server.server = crash.key.server.value();
        server.incarnation = crash.key.incarnation;
        server.age_ms = age_of(crash.at, now);
        for (const suspicion::crashed_request& it : crash.requests)
        {
            if (++requests > max_crashed_requests)
            {
                break;
            }
            fleet::wire::CrashedRequest& request =
                server.requests.emplace_back();
            request.request = it.request.value();
            request.sent_before_ms = age_of(it.sent_at, crash.at);
            for (const auto& part : it.parts)
            {
                request.parts.push_back(part.value());
            }
        }
    }
    add_parts(to.refused_parts, from.refused(now), now);
    add_parts(to.cleared_parts, from.cleared_since(since), now);
}

void apply_crash_notices(const peer& from, suspicion::crash_attribution& to)
{
    const fleet::wire::Digest& digest = from.digest;
    const time_point now = from.received_at;
    const auto log = [&](event_number event, const std::string& part)
    {
        log_event(severity::warning, event,
                  {{"part", part}, {"seen_by", digest.sender}});
    };
    for (const fleet::wire::PromptPart& it : digest.cleared_parts)
    {
        if (to.on_cleared(notice_from(it, now), now))
        {
            log(event_number::prompt_part_cleared, it.part);
        }
    }
    for (const fleet::wire::PromptPart& it : digest.refused_parts)
    {
        if (to.on_refused(notice_from(it, now), now))
        {
            log(event_number::prompt_part_refused, it.part);
        }
    }
    // A host that reaches no server can't tell who ended a connection.
    if (digest.is_cut_off)
    {
        return;
    }
    for (const fleet::wire::CrashedServer& it : digest.crashed_servers)
    {
        to.on_crash(crash_from(it, now), false, now);
    }
}

} // namespace cicadahub::entry
