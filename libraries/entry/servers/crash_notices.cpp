#include "entry/servers/crash_notices.hpp"

#include "core/digest.hpp"
#include "core/structured_log.hpp"

#include <map>

namespace cicadahub::entry
{

namespace
{

/// Enough that parts in one deployment practically never collide.
constexpr std::size_t part_fingerprint_digits = 16;
/// Keep a digest within one datagram.
constexpr std::size_t max_suspects = 64;
constexpr std::size_t max_crashed_requests = 256;
constexpr std::size_t max_parts = 256;
/// Parts of the prompts of crashed requests, of some 20 bytes each.
constexpr std::size_t max_crashed_parts = 1'000;

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

suspicion::request_notice notice_from(const fleet::wire::CrashNotice& it,
                                      time_point received_at)
{
    return {suspicion::fingerprint(it.fingerprint),
            static_cast<std::uint32_t>(std::max(0, it.crashes)),
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

/// What a digest has room for.
struct crash_budget
{
    std::size_t requests = max_crashed_requests;
    std::size_t parts = max_crashed_parts;
};

void add_request(fleet::wire::CrashedServer& to,
                 const suspicion::crashed_request& it, time_point crashed_at,
                 crash_budget& left)
{
    if (left.requests == 0 || left.parts < it.parts.size())
    {
        return;
    }
    --left.requests;
    left.parts -= it.parts.size();
    fleet::wire::CrashedRequest& request = to.requests.emplace_back();
    request.request = it.request.value();
    request.sent_before_ms = age_of(it.sent_at, crashed_at);
    for (const auto& part : it.parts)
    {
        request.parts.push_back(part.value());
    }
}

void add_crash(fleet::wire::CrashedServer& to,
               const suspicion::server_crash& crash, crash_budget& left,
               time_point now)
{
    to.server = crash.key.server.value();
    to.incarnation = crash.key.incarnation;
    to.age_ms = age_of(crash.at, now);
    for (const suspicion::crashed_request& it : crash.requests)
    {
        add_request(to, it, crash.at, left);
    }
}

/// Counts a crash that another host has seen against a request.
void count_crash(suspicion::suspect_table& to,
                 const suspicion::server_crash& crash,
                 const suspicion::crashed_request& it,
                 const std::string& seen_by, time_point now)
{
    if (it.request.value().empty())
    {
        return;
    }
    const bool was_refused = to.is_refused(it.request);
    const std::uint32_t crashes =
        to.on_crash(it.request, {crash.key, crash.at, it.sent_at}, false, now);
    if (!was_refused && to.is_refused(it.request))
    {
        log_event(severity::info, event_number::request_suspected,
                  {{"fingerprint", it.request.value()},
                   {"crashes", crashes},
                   {"server", crash.key.server.value()},
                   {"incarnation", crash.key.incarnation},
                   {"seen_by", seen_by}});
    }
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
                       const suspicion::suspect_table& from, time_point since,
                       time_point now)
{
    for (const suspicion::request_notice& it :
         from.notices(since, !to.is_update, now))
    {
        if (to.crashes.size() >= max_suspects)
        {
            return;
        }
        fleet::wire::CrashNotice& notice = to.crashes.emplace_back();
        notice.fingerprint = it.request.value();
        notice.crashes = static_cast<std::int32_t>(it.crashes);
        notice.__set_age_ms(age_of(it.at, now));
        notice.trials = static_cast<std::int32_t>(it.trials);
    }
}

void add_crash_notices(fleet::wire::Digest& to,
                       suspicion::crash_attribution& from, time_point since,
                       time_point now)
{
    if (from.is_empty())
    {
        return;
    }
    crash_budget left;
    for (const auto& crash : from.own_crashes_since(since))
    {
        add_crash(to.crashed_servers.emplace_back(), crash, left, now);
    }
    add_parts(to.refused_parts, from.refused(now), now);
    add_parts(to.cleared_parts, from.cleared_since(since), now);
}

void add_known_crashes(fleet::wire::Digest& to,
                       const suspicion::suspect_table& requests,
                       const suspicion::crash_attribution& parts,
                       time_point now)
{
    std::map<suspicion::crash_key, suspicion::server_crash> crashes;
    for (const auto& it : requests.known_crashes(max_crashed_requests, now))
    {
        suspicion::server_crash& crash = crashes[it.crash.key];
        crash.key = it.crash.key;
        crash.at = it.crash.at;
        crash.requests.push_back(
            {it.request, it.crash.sent_at,
             parts.accused_parts(it.crash.key, it.request)});
    }
    to.crashed_servers.clear();
    crash_budget left;
    for (const auto& [key, crash] : crashes)
    {
        add_crash(to.crashed_servers.emplace_back(), crash, left, now);
    }
}

void apply_crash_notices(const peer& from, suspicion::suspect_table& requests,
                         suspicion::crash_attribution& parts)
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
        if (parts.on_cleared(notice_from(it, now), now))
        {
            log(event_number::prompt_part_cleared, it.part);
        }
    }
    for (const fleet::wire::PromptPart& it : digest.refused_parts)
    {
        if (parts.on_refused(notice_from(it, now), now))
        {
            log(event_number::prompt_part_refused, it.part);
        }
    }
    // A host that reaches no server can't tell who ended a connection.
    if (digest.is_cut_off)
    {
        return;
    }
    for (const fleet::wire::CrashNotice& it : digest.crashes)
    {
        if (requests.on_notice(notice_from(it, now), now))
        {
            log_event(severity::info, event_number::request_suspected,
                      {{"fingerprint", it.fingerprint},
                       {"crashes", it.crashes},
                       {"seen_by", digest.sender}});
        }
    }
    for (const fleet::wire::CrashedServer& it : digest.crashed_servers)
    {
        const suspicion::server_crash crash = crash_from(it, now);
        parts.on_crash(crash, false, now);
        for (const suspicion::crashed_request& request : crash.requests)
        {
            count_crash(requests, crash, request, digest.sender, now);
        }
    }
}

} // namespace cicadahub::entry
