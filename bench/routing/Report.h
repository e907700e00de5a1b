#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// What a bench prints: a table, or with --json the same figures as JSON.
namespace carobpath::bench {

/// Rows of named figures; each row has the same columns.
class Report {
public:
    using Row = std::vector<std::pair<std::string, nlohmann::json>>;

    explicit Report(std::string title)
        : m_title(std::move(title))
    {
    }

    void add(Row row) { m_rows.push_back(std::move(row)); }

    void print(bool json) const
    {
        if (json)
            printJson();
        else
            printTable();
    }

private:
    static constexpr int s_width = 15;

    void printJson() const
    {
        auto rows = nlohmann::json::array();
        for (const auto& row : m_rows) {
            nlohmann::json object;
            for (const auto& [name, value] : row)
                object[name] = value;
            rows.push_back(std::move(object));
        }
        std::cout << nlohmann::json { { "title", m_title }, { "rows", std::move(rows) } }.dump() << '\n';
    }

    void printTable() const
    {
        std::cout << m_title << '\n';
        if (m_rows.empty())
            return;
        for (const auto& [name, value] : m_rows.front())
            printCell(name);
        std::cout << '\n';
        for (const auto& row : m_rows) {
            for (const auto& [name, value] : row)
                printCell(textOf(value));
            std::cout << '\n';
        }
    }

    static std::string textOf(const nlohmann::json& value)
    {
        if (value.is_string())
            return value.get<std::string>();
        if (!value.is_number_float())
            return value.dump();
        char buf[32];
        std::snprintf(buf, sizeof buf, "%.3f", value.get<double>());
        return buf;
    }

    static void printCell(std::string_view text) { std::printf("%*.*s ", s_width, s_width, std::string(text).c_str()); }

    std::string m_title;
    std::vector<Row> m_rows;
};

/// Runs a bench and prints its report, as JSON if the program was called with --json.
/// \returns the exit code of the program.
template <typename Bench>
int runBench(int argc, char** argv, Bench bench)
{
    try {
        const bool json = std::any_of(argv + 1, argv + argc, [](const char* it) { return std::string_view(it) == "--json"; });
        bench().print(json);
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
}

}
