#include "daemon/lease_document.hpp"

#include "core/json_reader.hpp"

namespace cicadahub::daemon
{

using ownership::lease_record;
using ownership::lease_write_result;

lease_record lease_from_json(const boost::json::object& spec)
{
    const json_reader reader(spec);
    lease_record it;
    it.holder = daemon_id(reader.text("holder"));
    it.epoch =
        epoch_number(static_cast<std::uint64_t>(reader.integer("epoch")));
    it.renewal = static_cast<std::uint64_t>(reader.integer("renewal"));
    it.is_released = reader.boolean_or("released", false);
    return it;
}

boost::json::object to_json(const lease_record& it)
{
    return {{"holder", it.holder.value()},
            {"epoch", it.epoch.value()},
            {"renewal", it.renewal},
            {"released", it.is_released}};
}

lease_write_result result_of(platform::write_outcome it)
{
    switch (it)
    {
    case platform::write_outcome::applied:
        return lease_write_result::applied;
    case platform::write_outcome::conflict:
        return lease_write_result::conflict;
    case platform::write_outcome::unknown:
        break;
    }
    return lease_write_result::unknown;
}

} // namespace cicadahub::daemon
