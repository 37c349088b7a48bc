#include "sardinerill/admission/admission.h"
#include "sardinerill/admission/keys.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;

namespace {

const Instant Now(seconds(100));
const ConfigurationProof Fresh{Now - seconds(1), seconds(10)};
const ConfigurationProof Stale{Now - seconds(11), seconds(10)};

struct AdmissionFixture {
  GeneratedKey ValidKey = generateKey(KeyId("good"));
  GeneratedKey WithdrawnKey = generateKey(KeyId("gone"));
  std::shared_ptr<Fleet> Config = std::make_shared<Fleet>();

  AdmissionFixture() {
    this->WithdrawnKey.Record.Withdrawn = true;
    Team Ingoma;
    Ingoma.Id = TeamId("ingoma");
    Ingoma.Keys = {this->ValidKey.Record, this->WithdrawnKey.Record};
    this->Config->Teams[Ingoma.Id] = Ingoma;
    WorkClass Keyed;
    Keyed.Id = ClassId("pattern");
    WorkClass Open = Keyed;
    Open.Id = ClassId("hello");
    Open.AllowAnonymous = true;
    WorkClass NonIdempotent = Keyed;
    NonIdempotent.Id = ClassId("quote");
    NonIdempotent.Idempotent = false;
    for (const WorkClass &Class : {Keyed, Open, NonIdempotent})
      this->Config->Classes[Class.Id] = Class;
  }

  /// \returns the reason why the request is refused; ErrorKind::Count if it is
  /// admitted.
  ErrorKind refusalKind(const std::string &Class,
                        std::optional<std::string> Key,
                        ConfigurationProof Proof = Fresh) const {
    auto Outcome =
        Admission(this->Config)
            .admit({ClassId(Class), std::move(Key), false}, Proof, Now);
    return Outcome ? ErrorKind::Count : Outcome.error().Kind;
  }
};

} // namespace

TEST_CASE("a request is admitted only for the team that owns its key") {
  AdmissionFixture Fixture;
  auto Outcome = Admission(Fixture.Config)
                     .admit({ClassId("pattern"), Fixture.ValidKey.Text, false},
                            Fresh, Now);
  REQUIRE(Outcome.has_value());
  CHECK(Outcome->Team == TeamId("ingoma"));
  CHECK(Fixture.refusalKind("pattern", std::nullopt) == ErrorKind::KeyMissing);
  CHECK(Fixture.refusalKind("pattern", "nonsense") == ErrorKind::KeyUnknown);
  CHECK(Fixture.refusalKind("pattern", Fixture.WithdrawnKey.Text) ==
        ErrorKind::KeyWithdrawn);
  CHECK(Fixture.refusalKind("none", Fixture.ValidKey.Text) ==
        ErrorKind::ClassUnknown);
  CHECK(Fixture.refusalKind("quote", Fixture.ValidKey.Text) ==
        ErrorKind::IdempotencyKeyMissing);
}

TEST_CASE("with an unconfirmed configuration only requests without a key are "
          "admitted") {
  AdmissionFixture Fixture;
  CHECK(Fixture.refusalKind("pattern", Fixture.ValidKey.Text, Stale) ==
        ErrorKind::KeyCheckUnavailable);
  CHECK(Fixture.refusalKind("hello", Fixture.ValidKey.Text, Stale) ==
        ErrorKind::KeyCheckUnavailable);
  CHECK(Fixture.refusalKind("hello", std::nullopt, Stale) == ErrorKind::Count);
}

TEST_CASE("team keys and operator keys are not interchangeable") {
  AdmissionFixture Fixture;
  const GeneratedKey Operator = generateKey(KeyId("ann"));
  Fixture.Config->OperatorKeys = {Operator.Record};
  const Admission Checker(Fixture.Config);
  CHECK(Checker.authenticateOperator(Operator.Text).has_value());
  CHECK_FALSE(Checker.authenticateOperator(Fixture.ValidKey.Text).has_value());
  CHECK(Fixture.refusalKind("pattern", Operator.Text) == ErrorKind::KeyUnknown);
}

TEST_CASE("a key with one changed character is refused") {
  AdmissionFixture Fixture;
  CHECK(rc::check("keys with one changed character", [&] {
    std::string Text = Fixture.ValidKey.Text;
    const auto Position = *rc::gen::inRange<std::size_t>(0, Text.size());
    const char Other = *rc::gen::arbitrary<char>();
    RC_PRE(Text[Position] != Other);
    Text[Position] = Other;
    RC_ASSERT(Fixture.refusalKind("pattern", Text) == ErrorKind::KeyUnknown);
  }));
}
