#pragma once

#include "NodeProcess.h"

#include <string>
#include <vector>

namespace carobpath::harness {

/// What a run of the operators' client came to.
struct OperatorResult {
    int status = 0;
    std::string output;
    std::string errors;
};

/// Runs `carobpath` in the name of one member.
class Operator {
public:
    Operator(const TemporaryDirectory&, const TestMember&, const std::vector<TestMember>& members,
        const std::string& logEndpoint, const std::vector<std::string>& nodes);

    /// Runs one command to its end. \param arguments such as {"publish", FILE}.
    OperatorResult run(const std::vector<std::string>& arguments, std::chrono::milliseconds bound = patience);

    /// Starts a command and does not wait for it.
    std::unique_ptr<Process> start(const std::vector<std::string>& arguments);

    /// Writes the objects to a file and publishes it.
    OperatorResult publish(const std::string& objects);

    const TestMember& member() const { return m_member; }

private:
    const TemporaryDirectory& m_directory;
    TestMember m_member;
    std::string m_settings;
    int m_runs = 0;
};

}
