#include "platform/object_client.hpp"

#include "core/digest.hpp"
#include "core/json_reader.hpp"
#include "core/structured_log.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace cicadahub::platform
{

namespace
{

constexpr std::size_t max_write_marks = 8;
constexpr std::size_t write_mark_bytes = 8;
constexpr milliseconds write_retry_delay{50};

/// Limits of one list, over all of its pages: some 500 objects or 1 MB a page.
/// In memory the objects take several times the bytes of their text.
constexpr std::size_t list_limit_pages = 256;
constexpr std::size_t list_limit_bytes = 8 * 1024 * 1024;

constexpr std::array<std::string_view, 12> collection_names{
    "configurations", "hosts",   "leases", "placements",
    "members",        "intents", "audits", "servers",
    "versions",       "streams", "limits", "evacuations"};

void expect_ok(const http::response& answer)
{
    if (answer.result() == http::status::gone)
    {
        throw watch_expired();
    }
    if (answer.result() != http::status::ok)
    {
        throw platform_error("the platform answered with status " +
                             std::to_string(answer.result_int()));
    }
}

/// True if the same request would get the same answer again. A cursor that is
/// gone needs a new list.
bool is_final_refusal(const http::response& answer)
{
    const http::status code = answer.result();
    return http::beast_http::to_status_class(code) ==
               http::beast_http::status_class::client_error &&
           code != http::status::request_timeout &&
           code != http::status::too_many_requests &&
           code != http::status::gone;
}

} // namespace

std::string_view name_of(collection it)
{
    return collection_names.at(static_cast<std::size_t>(it));
}

object_client::object_client(http::client_pool& pool, http::endpoint address,
                             client_timing timing,
                             const object_dialect& dialect,
                             std::function<void()> on_restored)
    : m_pool(pool), m_address(address), m_timing(timing), m_dialect(dialect),
      m_on_restored(std::move(on_restored))
{
}

void object_client::check_era(const http::response& answer)
{
    const auto era = m_dialect.read_era(answer);
    if (!era || *era == m_era)
    {
        return;
    }
    if (*era < m_era)
    {
        throw platform_error("the answer is of an older era of the store");
    }
    const store_era former = std::exchange(m_era, *era);
    if (former.value() > 0)
    {
        log_event(severity::warning, event_number::store_restored,
                  {{"era", era->value()}, {"former", former.value()}});
        if (m_on_restored)
        {
            m_on_restored();
        }
    }
}

void object_client::add_era(listing& it) const
{
    it.version = in_era(m_era, it.version.value());
    for (stored_object& object : it.objects)
    {
        object.version = in_era(m_era, object.version.value());
    }
}

net::awaitable<http::response> object_client::call(http::request message,
                                                   milliseconds timeout)
{
    try
    {
        http::response answer = co_await http::fetch(
            m_pool, m_address, std::move(message), timeout);
        check_era(answer);
        co_return answer;
    }
    catch (const http::late_timeout& it)
    {
        throw call_delayed(it.what());
    }
    catch (const boost::system::system_error& it)
    {
        throw platform_error(it.what());
    }
}

list_page object_client::read_page(collection where,
                                   const http::response& answer,
                                   std::size_t number,
                                   const listing& read) const
{
    const bool is_first = number == 1;
    if (!is_first && is_final_refusal(answer))
    {
        throw incomplete_list(read, "a later page was refused with status " +
                                        std::to_string(answer.result_int()));
    }
    expect_ok(answer);
    try
    {
        return m_dialect.read_list(where, answer.body());
    }
    catch (const malformed_document& reason)
    {
        if (is_first)
        {
            throw;
        }
        throw incomplete_list(read, "a later page cannot be read: " +
                                        std::string(reason.what()));
    }
}

net::awaitable<listing> object_client::list(collection where)
{
    listing result;
    std::optional<store_era> era;
    std::optional<std::string> after = std::string();
    std::set<std::string> cursors;
    std::size_t pages = 0;
    std::size_t bytes = 0;
    while (after)
    {
        if (!cursors.insert(*after).second)
        {
            throw incomplete_list(std::move(result),
                                  "a page leads back to an earlier one");
        }
        const auto answer =
            co_await call(m_dialect.list(where, *after), m_timing.call_timeout);
        ++pages;
        bytes += answer.body().size();
        if (pages > list_limit_pages || bytes > list_limit_bytes)
        {
            throw platform_error("the list of " + std::string(name_of(where)) +
                                 " is too long");
        }
        if (era.value_or(m_era) != m_era)
        {
            throw platform_error("the store was restored while it was listed");
        }
        era = m_era;
        list_page page = read_page(where, answer, pages, result);
        add_era(page.content);
        // The version of the first page is kept, so that a watch from it also
        // returns the changes made between two pages.
        if (pages == 1)
        {
            result.version = page.content.version;
        }
        std::move(page.content.objects.begin(), page.content.objects.end(),
                  std::back_inserter(result.objects));
        after = std::move(page.next_after);
    }
    co_return result;
}

net::awaitable<std::optional<stored_object>>
object_client::read(collection where, std::string name)
{
    const auto answer =
        co_await call(m_dialect.read(where, name), m_timing.call_timeout);
    if (answer.result() == http::status::not_found)
    {
        co_return std::nullopt;
    }
    expect_ok(answer);
    stored_object it = m_dialect.read_object(answer.body());
    it.version = in_era(m_era, it.version.value());
    co_return it;
}

net::awaitable<object_client::attempt>
object_client::try_write(const http::request& message, object_version& version)
{
    try
    {
        const auto answer = co_await call(message, m_timing.call_timeout);
        if (answer.result() == http::status::conflict ||
            answer.result() == http::status::not_found)
        {
            co_return attempt::conflict;
        }
        if (answer.result() != http::status::ok &&
            answer.result() != http::status::created)
        {
            co_return attempt::no_answer;
        }
        version =
            in_era(m_era, m_dialect.read_object(answer.body()).version.value());
        co_return attempt::applied;
    }
    catch (const error&)
    {
        co_return attempt::no_answer;
    }
}

net::awaitable<write_result> object_client::write(collection where,
                                                  stored_object previous,
                                                  boost::json::object spec)
{
    const store_era era = m_era;
    stored_object next = std::move(previous);
    if (revision_of(next.version) > 0 && era_of(next.version) != era)
    {
        // The restored store may have given the revision to another state.
        co_return write_result{write_outcome::conflict, {}};
    }
    next.version = object_version(revision_of(next.version));
    next.spec = std::move(spec);
    const std::string mark = random_hex(write_mark_bytes);
    next.write_marks.push_back(mark);
    if (next.write_marks.size() > max_write_marks)
    {
        next.write_marks.erase(next.write_marks.begin());
    }
    const http::request message = m_dialect.write(where, next);
    const time_point limit =
        monotonic_clock::now() + m_timing.write_retry_limit;
    bool is_first = true;
    do
    {
        object_version version;
        const attempt outcome = co_await try_write(message, version);
        if (m_era != era)
        {
            co_return write_result{write_outcome::unknown, {}};
        }
        if (outcome == attempt::applied)
        {
            co_return write_result{write_outcome::applied, version};
        }
        if (outcome == attempt::conflict && is_first)
        {
            co_return write_result{write_outcome::conflict, {}};
        }
        is_first = false;
        if (outcome == attempt::conflict)
        {
            // The conflict may be with an earlier attempt of this same write
            // whose response was lost; the write marks tell.
            try
            {
                const auto stored = co_await read(where, next.name);
                const bool is_own_write =
                    stored && std::find(stored->write_marks.begin(),
                                        stored->write_marks.end(),
                                        mark) != stored->write_marks.end();
                co_return write_result{is_own_write ? write_outcome::applied
                                                    : write_outcome::conflict,
                                       is_own_write ? stored->version
                                                    : object_version{}};
            }
            catch (const error&)
            {
                // The read failed too; retry after the delay.
            }
        }
        net::steady_timer timer(m_pool.executor(), write_retry_delay);
        co_await timer.async_wait(net::use_awaitable);
    } while (monotonic_clock::now() < limit);
    co_return write_result{write_outcome::unknown, {}};
}

net::awaitable<listing>
object_client::watch(collection where, object_version since, milliseconds wait)
{
    if (era_of(since) != m_era)
    {
        throw watch_expired();
    }
    const object_version revision(revision_of(since));
    const auto answer = co_await call(m_dialect.watch(where, revision, wait),
                                      wait + m_timing.call_timeout);
    expect_ok(answer);
    if (era_of(since) != m_era)
    {
        throw watch_expired();
    }
    listing changes = m_dialect.read_watch(where, revision, answer.body());
    add_era(changes);
    co_return changes;
}

net::awaitable<void> object_client::remove(collection where, std::string name)
{
    const auto answer =
        co_await call(m_dialect.remove(where, name), m_timing.call_timeout);
    if (answer.result() != http::status::not_found)
    {
        expect_ok(answer);
    }
}

} // namespace cicadahub::platform
