#ifndef EELGRASSTRACK_RPC_OPERATOR_API_H_
#define EELGRASSTRACK_RPC_OPERATOR_API_H_

#include "http/server.h"
#include "rpc/operator-backend.h"
#include "rpc/schema-validator.h"

namespace eelgrasstrack {

/// Settings of an `operator_api`.
struct operator_api_options
{
  /// Bearer token that operators must send.
  std::string secret;
  /// IP address from which upstream announcements are accepted.
  std::string upstream_address;
};

/// HTTP API for operators and for the upstream. Checks the secret and the
/// schema of a request, calls the backend and renders the answer as JSON or
/// text.
class operator_api final : public http_handler
{
public:
  operator_api(operator_backend& aBackend, operator_api_options aOptions);

  void Handle(std::shared_ptr<http_exchange> aExchange) override;

private:
  using exchange_ptr = std::shared_ptr<http_exchange>;
  using handler = void (operator_api::*)(const exchange_ptr&,
                                         const std::string& aId);

  /// Definition of one RPC. One segment of `path` may be `{id}`.
  struct rpc_definition
  {
    std::string_view method;
    std::string_view path;
    /// Name of the schema of the request body; empty if there is no body.
    std::string_view schema;
    bool needs_secret;
    handler call;
  };

  static const std::vector<rpc_definition>& RpcDefinitions();
  bool Authorized(const http_request& aRequest) const;

  void Health(const exchange_ptr& aExchange, const std::string& aId);
  void Schema(const exchange_ptr& aExchange, const std::string& aId);
  void GetConfig(const exchange_ptr& aExchange, const std::string& aId);
  void Apply(const exchange_ptr& aExchange, const std::string& aId);
  void ListRollouts(const exchange_ptr& aExchange, const std::string& aId);
  void StartRollout(const exchange_ptr& aExchange, const std::string& aId);
  void GetRollout(const exchange_ptr& aExchange, const std::string& aId);
  void PauseRollout(const exchange_ptr& aExchange, const std::string& aId);
  void ResumeRollout(const exchange_ptr& aExchange, const std::string& aId);
  void RollBackRollout(const exchange_ptr& aExchange, const std::string& aId);
  void AnnounceUpstream(const exchange_ptr& aExchange, const std::string& aId);
  void Dump(const exchange_ptr& aExchange, const std::string& aId);
  void Metrics(const exchange_ptr& aExchange, const std::string& aId);
  /// Passes a command for a rollout to the backend.
  void ChangeRollout(const exchange_ptr& aExchange,
                     const std::string& aId,
                     rollout_command aCommand);

  operator_backend& mBackend;
  operator_api_options mOptions;
  schema_validator mValidator;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_RPC_OPERATOR_API_H_
