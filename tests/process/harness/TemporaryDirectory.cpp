#include "TemporaryDirectory.h"

#include <fstream>
#include <stdexcept>
#include <stdlib.h>

namespace carobpath::harness {

TemporaryDirectory::TemporaryDirectory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "carobpath-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary directory");
    m_path = pattern;
}

TemporaryDirectory::~TemporaryDirectory()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string TemporaryDirectory::write(const std::string& name, const std::string& text) const
{
    const auto path = m_path / name;
    std::ofstream(path) << text;
    return path.string();
}

}
