#include "internal/PublishRun.h"

#include "carobpath/platform/StoreClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <random>

namespace carobpath::client::Detail {

namespace {

    namespace asio = boost::asio;
    using namespace publication;

    /// Carries out the commands of a publisher.
    class PublishSession {
    public:
        PublishSession(const ClientSettings& settings, Publisher publisher)
            : m_stream(settings.log.stream)
            , m_publisher(std::move(publisher))
            , m_log(m_io.get_executor(), optionsOf(settings))
        {
        }

        PublishResult run()
        {
            carryOut(m_publisher.start(MonotonicClock::now()));
            m_io.run();
            return std::move(*m_result);
        }

    private:
        static platform::StoreClientOptions optionsOf(const ClientSettings& settings)
        {
            platform::StoreClientOptions options;
            options.endpoints = settings.log.endpoints;
            options.answerTimeout = std::chrono::ceil<std::chrono::milliseconds>(settings.timeouts.log);
            options.connectTimeout = std::min(options.connectTimeout, options.answerTimeout);
            return options;
        }

        void carryOut(PublishCommand command)
        {
            std::visit([this](auto& it) { carryOut(it); }, command);
        }

        void carryOut(const ReadLog& it)
        {
            m_log.read(m_stream, it.from, it.wait, it.limit, [this](const ReadResult& result) { carryOut(m_publisher.onRead(result, MonotonicClock::now())); });
        }

        void carryOut(AppendRecord& it)
        {
            m_log.append(m_stream, it.bytes, [this](const AppendResult& result) { carryOut(m_publisher.onAppend(result, MonotonicClock::now())); });
        }

        void carryOut(const WaitFor& it)
        {
            m_timer.expires_after(it.delay);
            m_timer.async_wait([this](boost::system::error_code) { carryOut(m_publisher.onTimer(MonotonicClock::now())); });
        }

        void carryOut(Finish& it)
        {
            m_result = std::move(it.result);
            m_io.stop();
        }

        asio::io_context m_io { 1 };
        std::string m_stream;
        Publisher m_publisher;
        platform::StoreClient m_log;
        asio::steady_timer m_timer { m_io };
        std::optional<PublishResult> m_result;
    };

}

Result<TrustedKeys> trustedKeys(const ClientSettings& settings)
{
    TrustedKeys keys;
    for (const auto& member : settings.members) {
        BOOST_LEAF_AUTO(key, publicKeyFromHex(member.publicKey.digits));
        keys.addMember(member.name, key);
    }
    if (settings.fleetPublicKey.empty()) {
        keys.trustAnyFleet();
        return keys;
    }
    BOOST_LEAF_AUTO(fleet, publicKeyFromHex(settings.fleetPublicKey.digits));
    keys.addFleet(fleet);
    return keys;
}

PublishResult runPublisher(const ClientSettings& settings, const PublishRequest& request, const KeyPair& key, const TrustedKeys& keys, std::chrono::milliseconds giveUpAfter)
{
    PublisherOptions options;
    options.giveUpAfter = giveUpAfter;
    Publisher publisher { request, key, keys, options, std::mt19937_64 { std::random_device {}() } };
    return PublishSession { settings, std::move(publisher) }.run();
}

}
