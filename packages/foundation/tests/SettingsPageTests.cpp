#include "carobpath/foundation/ClientSettings.h"
#include "carobpath/foundation/NodeSettings.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>

using namespace carobpath;

namespace {

using Rows = std::set<std::string>;

std::string rowOf(const SettingDescription& it)
{
    const std::string fallback = it.fallback ? "`" + *it.fallback + "`" : (it.isRequired ? "required" : "none");
    return "| `" + it.key + "` | " + it.type + " | " + fallback + " | " + it.bounds + " | " + it.purpose + " |";
}

Rows declaredRows(const std::vector<SettingDescription>& descriptions)
{
    Rows rows;
    for (const auto& description : descriptions)
        rows.insert(rowOf(description));
    return rows;
}

/// \returns the rows of keys below a heading of the page.
Rows pageRows(const std::string& heading)
{
    std::ifstream page(std::string(CAROBPATH_SOURCE_DIR) + "/docs/SETTINGS.md");
    Rows rows;
    bool isInside = false;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("## "))
            isInside = line == heading;
        else if (isInside && line.starts_with("| `"))
            rows.insert(line);
    }
    return rows;
}

void checkPage(const std::string& heading, const std::vector<SettingDescription>& descriptions)
{
    const Rows page = pageRows(heading);
    const Rows declared = declaredRows(descriptions);
    for (const auto& row : declared)
        BOOST_TEST(page.contains(row), "docs/SETTINGS.md lacks: " << row);
    for (const auto& row : page)
        BOOST_TEST(declared.contains(row), "docs/SETTINGS.md has a row that the code does not declare: " << row);
}

}

BOOST_AUTO_TEST_SUITE(Settings_page)

BOOST_AUTO_TEST_CASE(The_page_lists_each_key_of_a_node_as_the_code_declares_it)
{
    checkPage("## carobpathd", nodeSettingDescriptions());
}

BOOST_AUTO_TEST_CASE(The_page_lists_each_key_of_the_client_as_the_code_declares_it)
{
    checkPage("## carobpath", clientSettingDescriptions());
}

BOOST_AUTO_TEST_CASE(A_row_that_differs_from_the_code_is_noticed)
{
    auto descriptions = nodeSettingDescriptions();
    descriptions.front().fallback = "other";
    BOOST_TEST((pageRows("## carobpathd") != declaredRows(descriptions)));
}

BOOST_AUTO_TEST_SUITE_END()
