#include "decision/routing/allowed_regions.hpp"

namespace cicadahub::routing
{

void allowed_regions::restrict_to(const region_set& it)
{
    if (!it)
    {
        return;
    }
    if (!m_regions)
    {
        m_regions = it;
        return;
    }
    std::erase_if(*m_regions,
                  [&](const region_id& known) { return !it->contains(known); });
}

bool allowed_regions::allows(const region_id* region) const
{
    return !m_regions || (region != nullptr && m_regions->contains(*region));
}

std::string to_text(const std::set<region_id>& regions)
{
    std::string text;
    for (const region_id& it : regions)
    {
        text.append(it.value()).append("\n");
    }
    return text;
}

std::set<region_id> regions_from(std::string_view text)
{
    std::set<region_id> regions;
    while (!text.empty())
    {
        const std::size_t end = std::min(text.find('\n'), text.size());
        regions.insert(region_id(std::string(text.substr(0, end))));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return regions;
}

} // namespace cicadahub::routing
