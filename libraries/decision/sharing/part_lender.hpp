#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <optional>

namespace cicadahub::sharing
{

/// This host's part of the rate that a server takes, which it lends to the one
/// host that it wants to send to the server. It lends the part to another host
/// only when the loan to the former one has ended there, so that all loans
/// together never exceed the rate, whatever each host believes of the others.
class part_lender
{
public:
    /// A loan ends this long after the borrower sent the message that the
    /// lender answers. The lender counts from when that message arrived, which
    /// is later, so that neither delays nor lost messages matter. Several
    /// messages may be lost before the loan ends.
    static constexpr milliseconds loan_time{2'000};

    /// Chooses the host to lend to. `heard_at` is the arrival of the message of
    /// that host that the loan answers; empty if this host itself is to send.
    /// Has no effect before the loan to the former one has ended.
    void choose(const daemon_id& wanted, std::optional<time_point> heard_at,
                time_point now);
    /// The borrower said that it no longer sends.
    void on_returned() { m_ends_at = {}; }

    /// The host through which requests go: this one, or the one that borrows;
    /// empty before the first choice.
    const daemon_id& borrower() const { return m_borrower; }
    bool is_lending_to_self() const { return m_is_lending_to_self; }
    /// True if the loan is to go on, false if it is only waited for.
    bool is_renewed() const { return m_is_renewed; }
    /// Time after which this host can lend to another one.
    milliseconds time_to_end(time_point now) const;

private:
    daemon_id m_borrower;
    bool m_is_lending_to_self = false;
    bool m_is_renewed = false;
    time_point m_ends_at{};
};

} // namespace cicadahub::sharing
