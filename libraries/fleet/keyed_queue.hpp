#pragma once

#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace cicadahub::fleet
{

/// Send queue in which a newer message replaces an older one of the same key
/// (semantic reliability; Pereira, Rodrigues, Oliveira, TR-01-2, 2001). It
/// holds at most one message per key, however slow the receiver is. A message
/// takes the queue position of the one that it replaces.
template<class Message>
class keyed_queue
{
public:
    using entry = std::pair<std::string, Message>;

    void push(const std::string& key, Message message)
    {
        const auto at = m_positions.find(key);
        if (at != m_positions.end())
        {
            at->second->second = std::move(message);
            return;
        }
        m_messages.emplace_back(key, std::move(message));
        m_positions.emplace(key, std::prev(m_messages.end()));
    }

    /// Removes and returns the message at the front, with its key.
    std::optional<entry> pop()
    {
        if (m_messages.empty())
        {
            return std::nullopt;
        }
        entry it = std::move(m_messages.front());
        m_positions.erase(it.first);
        m_messages.pop_front();
        return it;
    }

    bool contains(const std::string& key) const
    {
        return m_positions.contains(key);
    }

    std::size_t size() const { return m_messages.size(); }
    bool is_empty() const { return m_messages.empty(); }

private:
    using message_list = std::list<entry>;

    message_list m_messages;
    std::unordered_map<std::string, typename message_list::iterator>
        m_positions;
};

} // namespace cicadahub::fleet
