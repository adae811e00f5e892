#include "serving/configuration.hpp"

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
