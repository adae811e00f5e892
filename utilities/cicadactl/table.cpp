#include "table.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace cicadahub::ctl
{

namespace
{

constexpr std::size_t column_gap = 2;

std::string text_of(const boost::json::value& it)
{
    return it.is_string() ? std::string(it.get_string())
                          : boost::json::serialize(it);
}

std::string cell(const boost::json::value& item, const std::string& member)
{
    const auto* it = item.as_object().if_contains(member);
    return it == nullptr ? "-" : text_of(*it);
}

} // namespace

void print_table(const boost::json::array& items,
                 const std::vector<std::string>& members)
{
    std::vector<std::vector<std::string>> rows{members};
    for (const boost::json::value& item : items)
    {
        std::vector<std::string> row;
        row.reserve(members.size());
        for (const std::string& member : members)
        {
            row.push_back(cell(item, member));
        }
        rows.push_back(std::move(row));
    }
    std::vector<std::size_t> widths(members.size());
    for (const auto& row : rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto& row : rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            const auto width = static_cast<int>(widths[i] + column_gap);
            std::cout << std::left << std::setw(width) << row[i];
        }
        std::cout << "\n";
    }
}

} // namespace cicadahub::ctl
