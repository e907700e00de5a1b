#pragma once

#include "internal/Context.h"

#include <functional>
#include <span>
#include <string_view>

namespace carobpath::client::Detail {

/// One command of the client.
struct Command {
    /// The words that name it, such as "move status".
    std::string_view words;
    std::string_view operands;
    std::string_view summary;
    std::size_t leastOperands = 0;
    std::size_t mostOperands = 0;
    bool needsSettings = false;
    /// Adds the options of the command.
    std::function<void(cxxopts::Options&)> declare;
    std::function<ExitCode(const Context&)> run;
};

std::span<const Command> commands();

Command checkCommand();
Command publishCommand();
Command statusCommand();
Command objectsCommand();
Command quotasCommand();
Command moveStatusCommand();
Command keyGenerateCommand();
Command keyPublicCommand();
Command timelineCommand();
Command explainCommand();

}
