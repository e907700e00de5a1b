#include "LoadMix.h"

#include <sstream>
#include <stdexcept>

namespace carobpath::standins {

namespace {

    LoadKind kindOf(const std::string& text)
    {
        std::istringstream in(text);
        LoadKind kind;
        std::string method;
        in >> kind.weight >> method >> kind.host >> kind.target;
        kind.method = boost::beast::http::string_to_verb(method);
        if (in.fail() || kind.method == boost::beast::http::verb::unknown || !kind.target.starts_with('/'))
            throw std::invalid_argument("not \"WEIGHT METHOD HOST TARGET\": " + text);
        return kind;
    }

}

LoadMix::LoadMix(const std::vector<std::string>& texts)
{
    std::vector<double> weights;
    for (const auto& text : texts) {
        m_kinds.push_back(kindOf(text));
        weights.push_back(m_kinds.back().weight);
    }
    if (m_kinds.empty())
        throw std::invalid_argument("no kind of call");
    m_distribution = { weights.begin(), weights.end() };
}

const LoadKind& LoadMix::draw(std::mt19937_64& random) { return m_kinds[m_distribution(random)]; }

}
