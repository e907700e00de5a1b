#pragma once

#include <boost/beast/http/verb.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace carobpath::standins {

/// One kind of call of a load, and how often it is made.
struct LoadKind {
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string host;
    std::string target;
    double weight = 1;
};

/// Kinds of calls, drawn by weight.
class LoadMix {
public:
    /// Each text is "WEIGHT METHOD HOST TARGET"; throws std::invalid_argument for anything else.
    explicit LoadMix(const std::vector<std::string>& texts);

    const LoadKind& draw(std::mt19937_64&);

private:
    std::vector<LoadKind> m_kinds;
    std::discrete_distribution<std::size_t> m_distribution;
};

}
