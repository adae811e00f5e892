#include "core/event_log.hpp"
#include "settings/daemon_settings.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace cicadahub
{
namespace
{

std::string read_page(const std::string& name)
{
    std::ifstream in(std::string(CICADAHUB_SOURCE_DIR) + "/docs/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::size_t count_table_rows(const std::string& text, const std::string& start)
{
    std::istringstream in(text);
    std::size_t n = 0;
    for (std::string line; std::getline(in, line);)
    {
        n += line.starts_with(start);
    }
    return n;
}

TEST(event_catalogue, agrees_with_its_page)
{
    const std::string text = read_page("EVENTS.md");
    for (const event_row& it : event_catalogue())
    {
        const std::string row = "| " +
                                std::to_string(static_cast<int>(it.number)) +
                                " | `" + std::string(it.name) + "` |";
        EXPECT_NE(text.find(row), std::string::npos) << row;
    }
    const std::size_t heading_rows = 2;
    EXPECT_EQ(count_table_rows(text, "| "),
              event_catalogue().size() + heading_rows);
}

TEST(settings_page, agrees_with_the_program)
{
    const std::string text = read_page("SETTINGS.md");
    for (const settings::setting_row& it : settings::setting_rows())
    {
        const std::string row = settings::to_markdown(it);
        EXPECT_NE(text.find(row), std::string::npos) << row;
    }
    EXPECT_EQ(count_table_rows(text, "| `"), settings::setting_rows().size());
}

} // namespace
} // namespace cicadahub
