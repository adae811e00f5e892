#pragma once

#include "core/units.hpp"

#include <list>
#include <map>
#include <optional>
#include <string>

namespace cicadahub::admission
{

/// Requests that this host refused with a time to return, so that a repeat in
/// that time can be told from a new request.
class refused_requests
{
public:
    /// A repeat counts until this long after the promised time, or twice the
    /// time if that is longer.
    static constexpr milliseconds return_grace{1'000};
    /// A repeat that is earlier by up to this part of the time counts too: it
    /// may have been rounded.
    static constexpr double early_part = 0.1;
    static constexpr std::size_t max_requests = 4'096;

    /// `request` identifies what is asked for, by its content: a repeat may
    /// have another id. Equal requests are kept each by itself.
    void on_refused(const std::string& request, time_point arrived,
                    milliseconds retry_after, time_point now);

    /// If the request is a repeat in its promised time, returns when its first
    /// attempt arrived, and forgets it.
    std::optional<time_point> take_returned(const std::string& request,
                                            time_point now);

private:
    struct refused
    {
        time_point arrived{};
        time_point from{};
        time_point until{};
    };
    using entry = std::pair<std::string, refused>;

    /// In the order of the refusals.
    std::list<entry> m_refused;
    std::multimap<std::string, std::list<entry>::iterator> m_by_request;

    void forget(std::list<entry>::iterator it);
};

} // namespace cicadahub::admission
