#include "carobpath/publication/Keys.h"
#include "internal/Commands.h"

#include <fcntl.h>
#include <unistd.h>

#include <fstream>

namespace carobpath::client::Detail {

namespace {

    constexpr mode_t ownerOnly = 0600;

    /// Writes a new file that its owner alone can read; an existing one is never overwritten.
    bool writePrivate(const std::string& path, const std::string& text)
    {
        const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, ownerOnly);
        if (fd < 0)
            return false;
        const auto written = ::write(fd, text.data(), text.size());
        const bool isClosed = ::close(fd) == 0;
        return isClosed && written == static_cast<ssize_t>(text.size());
    }

    ExitCode generate(const Context& context)
    {
        const auto pair = publication::KeyPair::generate();
        const auto publicHex = toHex(pair.publicKey());
        nlohmann::json json { { "result", "ok" }, { "publicKey", publicHex } };
        if (context.operands.empty()) {
            json["privateKey"] = pair.privateHex();
            context.printText("private-key: " + pair.privateHex());
        } else if (!writePrivate(context.operands.front(), pair.privateHex() + "\n")) {
            return context.fail(ExitCode::WrongInput, "unwritable-file", context.operands.front() + ": exists or can't be written");
        }
        context.printText("public-key: " + publicHex);
        context.printJson(json);
        return ExitCode::Ok;
    }

    ExitCode showPublic(const Context& context)
    {
        std::ifstream in { context.operands.front() };
        std::string text;
        in >> text;
        auto pair = publication::KeyPair::fromHex(text);
        if (!pair)
            return context.fail(ExitCode::WrongInput, "bad-key", context.operands.front() + ": holds no private key of 64 hexadecimal digits");
        const auto publicHex = toHex(pair->publicKey());
        context.printText("public-key: " + publicHex);
        context.printJson({ { "result", "ok" }, { "publicKey", publicHex } });
        return ExitCode::Ok;
    }

}

Command keyGenerateCommand()
{
    return { "key generate", "[FILE]", "Make a key pair for a member or the fleet; the private key goes into FILE where one is named", 0, 1, false, {}, generate };
}

Command keyPublicCommand()
{
    return { "key public", "FILE", "Show the public key of the private key in FILE", 1, 1, false, {}, showPublic };
}

}
