#pragma once

#include <filesystem>
#include <string>

namespace carobpath::harness {

/// A directory of one test, removed with everything in it.
class TemporaryDirectory {
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    const std::filesystem::path& path() const { return m_path; }

    /// Writes a file and \returns its path.
    std::string write(const std::string& name, const std::string& text) const;

private:
    std::filesystem::path m_path;
};

}
