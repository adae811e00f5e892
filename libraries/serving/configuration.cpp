#include "serving/configuration.hpp"

#include <algorithm>

namespace cicadahub::serving
{

const route* configuration::find_route(std::string_view host,
                                       std::string_view path) const
{
    const route* best = nullptr;
    for (const route& it : routes)
    {
        if (it.host != host || !path.starts_with(it.path_prefix))
        {
            continue;
        }
        if (best == nullptr || it.path_prefix.size() > best->path_prefix.size())
        {
            best = &it;
        }
    }
    return best;
}

bool configuration::has_cold_rates() const
{
    return std::any_of(
        services.begin(), services.end(),
        [](const auto& it)
        { return it.second.cold_requests_per_second.has_value(); });
}

bool configuration::has_allowed_regions() const
{
    const auto is_restricted = [](const auto& it)
    {
        return it.allowed_regions.has_value();
    };
    return std::any_of(routes.begin(), routes.end(), is_restricted) ||
           std::any_of(organisations.begin(), organisations.end(),
                       [&](const auto& it)
                       { return is_restricted(it.second); });
}

const service* configuration::find_service(const service_id& name) const
{
    const auto it = services.find(name);
    return it == services.end() ? nullptr : &it->second;
}

const organisation* configuration::find_organisation(const key_hash& key) const
{
    const auto it = keys.find(key);
    if (it == keys.end())
    {
        return nullptr;
    }
    const auto found = organisations.find(it->second);
    return found == organisations.end() ? nullptr : &found->second;
}

} // namespace cicadahub::serving
