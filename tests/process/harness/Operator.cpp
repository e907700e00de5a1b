#include "Operator.h"

#include "Programs.h"

#include <fstream>
#include <sstream>

namespace carobpath::harness {

namespace {

    std::string contentOf(const std::filesystem::path& path)
    {
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        return text.str();
    }

}

Operator::Operator(const TemporaryDirectory& directory, const TestMember& member, const std::vector<TestMember>& members,
    const std::string& logEndpoint, const std::vector<std::string>& nodes)
    : m_directory(directory)
    , m_member(member)
{
    std::string text = "log: {endpoints: [\"" + logEndpoint + "\"]}\n"
        + "member: {name: " + member.name + ", private-key: \"" + member.privateKey + "\"}\n"
        + "members:\n";
    for (const auto& it : members)
        text += "  - {name: " + it.name + ", public-key: \"" + it.publicKey + "\"}\n";
    text += "nodes:\n";
    for (const auto& node : nodes)
        text += "  - \"" + node + "\"\n";
    m_settings = directory.write("operator-" + member.name + ".yaml", text);
}

OperatorResult Operator::run(const std::vector<std::string>& arguments, std::chrono::milliseconds bound)
{
    const auto process = start(arguments);
    OperatorResult result;
    result.status = process->waitForExit(bound);
    result.output = process->output();
    result.errors = contentOf(m_directory.path() / ("operator-" + m_member.name + "-" + std::to_string(m_runs) + ".err"));
    return result;
}

std::unique_ptr<Process> Operator::start(const std::vector<std::string>& arguments)
{
    const auto errors = m_directory.path() / ("operator-" + m_member.name + "-" + std::to_string(++m_runs) + ".err");
    std::vector<std::string> all { "--settings", m_settings };
    all.insert(all.end(), arguments.begin(), arguments.end());
    return std::make_unique<Process>(programs::carobpath, all, errors.string());
}

OperatorResult Operator::publish(const std::string& objects)
{
    const auto file = m_directory.write("objects-" + m_member.name + "-" + std::to_string(m_runs) + ".yaml", objects);
    return run({ "publish", file });
}

}
