#pragma once

#include "FakeLog.h"
#include "FakeStoreServer.h"
#include "Samples.h"
#include "carobpath/client/Client.h"
#include "carobpath/platform/RecordFrames.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include <unistd.h>

namespace carobpath::client {

/// What a run of the client came to.
struct ClientRun {
    ExitCode code = ExitCode::Ok;
    std::string out;
    std::string err;

    nlohmann::json json() const { return nlohmann::json::parse(out, nullptr, false); }
};

/// A log and a node's admin address over HTTP on a thread of their own, and a directory with an operator's settings.
class Platform {
public:
    Platform()
        : m_directory(std::filesystem::temp_directory_path() / ("carobpath-client-" + std::to_string(::getpid()) + "-" + std::to_string(s_count++)))
        , m_logServer(m_io, [this](const auto& request) { return answerLog(request); })
        , m_nodeServer(m_io, [this](const auto& request) { return answerNode(request); })
        , m_thread([this] { m_io.run(); })
    {
        std::filesystem::create_directories(m_directory);
        settings = write("settings.yaml", "log: {endpoints: [\"" + toString(m_logServer.endpoint()) + "\"]}\nmember: {name: petra, private-key: \"" + std::string(64, '1') + "\"}\nmembers:\n  - {name: petra, public-key: \"" + toHex(publication::samples::petraKey().publicKey()) + "\"}\n  - {name: akwapim, public-key: \"" + toHex(publication::samples::akwapimKey().publicKey()) + "\"}\nfleet-public-key: \"" + toHex(publication::samples::fleetKey().publicKey()) + "\"\nnodes: [\"" + toString(m_nodeServer.endpoint()) + "\"]\ntimeouts: {log: 5s, node: 5s, accepted: 60s}\n");
    }

    ~Platform()
    {
        m_io.stop();
        m_thread.join();
        std::filesystem::remove_all(m_directory);
    }

    Platform(const Platform&) = delete;
    Platform& operator=(const Platform&) = delete;

    std::string write(const std::string& name, const std::string& text) const
    {
        const auto path = m_directory / name;
        std::ofstream { path } << text;
        return path.string();
    }

    ClientRun run(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.begin(), { "--settings", settings, "--output", "json" });
        return runPlain(arguments);
    }

    static ClientRun runPlain(const std::vector<std::string>& arguments)
    {
        std::ostringstream out;
        std::ostringstream err;
        const auto code = runClient(arguments, out, err);
        return { code, out.str(), err.str() };
    }

    /// To be used while no client runs, or from its hooks.
    publication::FakeLog log;
    /// Answers of the node's admin address by target; the last of each stays.
    std::map<std::string, std::vector<platform::FakeAnswer>> nodeAnswers;
    std::string settings;

private:
    using Request = platform::FakeStoreServer::Request;
    using FakeAnswer = platform::FakeAnswer;

    FakeAnswer answerLog(const Request& request)
    {
        if (request.method() == boost::beast::http::verb::post)
            return answerAppend(platform::readRecords(request.body()).value().front());
        const std::string target { request.target() };
        const auto from = std::stoull(target.substr(target.find("from=") + 5));
        const auto result = log.read(from, 256);
        if (const auto* trimmed = std::get_if<publication::Trimmed>(&result))
            return { FakeAnswer::Kind::Send, 410, nlohmann::json { { "first-offset", trimmed->first } }.dump() };
        const auto* batch = std::get_if<publication::LogBatch>(&result);
        if (!batch)
            return { FakeAnswer::Kind::Send, 503, "" };
        platform::RawBatch raw { batch->next, batch->first, {} };
        for (const auto& it : batch->records)
            raw.records.push_back(it.body);
        return { FakeAnswer::Kind::Send, 200, platform::batchText(raw) };
    }

    FakeAnswer answerAppend(const std::string& record)
    {
        const auto result = log.append(record);
        if (const auto* appended = std::get_if<publication::Appended>(&result))
            return { FakeAnswer::Kind::Send, 200, nlohmann::json { { "offset", appended->offset }, { "end-offset", appended->offset + 1 } }.dump() };
        const auto& failure = std::get<publication::LogFailure>(result);
        if (failure.error == publication::LogError::AnswerLost)
            return { FakeAnswer::Kind::CloseWithoutAnswer, 0, "" };
        return { FakeAnswer::Kind::Send, failure.status, "" };
    }

    FakeAnswer answerNode(const Request& request)
    {
        auto& answers = nodeAnswers[std::string { request.target() }];
        if (answers.empty())
            return { FakeAnswer::Kind::Send, 404, R"({"error":"unknown"})" };
        auto answer = answers.front();
        if (answers.size() > 1)
            answers.erase(answers.begin());
        return answer;
    }

    static inline int s_count = 0;

    std::filesystem::path m_directory;
    boost::asio::io_context m_io { 1 };
    platform::FakeStoreServer m_logServer;
    platform::FakeStoreServer m_nodeServer;
    std::thread m_thread;
};

}
