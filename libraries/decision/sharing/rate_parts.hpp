#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <map>

namespace cicadahub::sharing
{

/// Parts of a rate that this host may use: its own, while it lends it to nobody
/// else, and those that other hosts lend to it.
class rate_parts
{
public:
    /// The part of the lender, from 0 to 1, until the time when the loan ends;
    /// a part of 0 ends the loan. Loans that count from before the last
    /// `give_back` are ignored.
    void set(const daemon_id& lender, double part, time_point from,
             time_point until);
    /// Ends all loans, also those that are on their way.
    void give_back(time_point now);

    /// Sum of the parts.
    double sum(time_point now) const;
    /// Sum of the parts over a time, in seconds. A loan that has ended counts
    /// until its end.
    double seconds_of_rate(time_point from, time_point to) const;
    void discard_ended(time_point now);

private:
    struct loan
    {
        double part = 0;
        time_point until{};
    };

    std::map<daemon_id, loan> m_loans;
    time_point m_given_back_at{};
};

} // namespace cicadahub::sharing
